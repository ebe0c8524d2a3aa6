package org.cassiastack.request;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;

/**
 * Estimates how long requests may have waited in the sockets of this process before they are read.
 *
 * <ol>
 *   <li>The thread that reads the sockets calls {@link #onTick} at regular intervals.
 *   <li>A much longer time between two ticks is a pause: the process was stopped, its machine was
 *       suspended, or the thread got no processor time.
 *   <li>For a while after a pause, a request that is read may have arrived during the pause.
 * </ol>
 *
 * <p>May be called on any thread.
 *
 * @since 0.2
 */
public final class ReadLag {
  /** Interval between two ticks. */
  public static final Duration TICK_INTERVAL = Duration.ofMillis(200);

  /** Time between two ticks above which the thread counts as paused. */
  static final Duration MIN_PAUSE = Duration.ofMillis(400);

  /** Time after a pause within which everything that arrived during the pause is read. */
  static final Duration CATCH_UP_TIME = Duration.ofSeconds(1);

  private Instant previousTick;
  private Instant lastTick;

  /** Last tick before the pause that was noticed last; null before the first pause. */
  private @Nullable Instant pausedSince;

  /** Tick that noticed this pause. */
  private Instant pausedUntil = Instant.MIN;

  private Instant caughtUpAt = Instant.MIN;

  private ReadLag(Instant now) {
    previousTick = now;
    lastTick = now;
  }

  /** Creates an estimate for a thread that begins to read at the given time. */
  public static ReadLag startedAt(Instant now) {
    return new ReadLag(now);
  }

  /** Records that the reading thread has gone through all sockets that had data. */
  public synchronized void onTick(Instant now) {
    if (isPaused(now)) {
      pausedSince = startOfPause();
      pausedUntil = now;
      caughtUpAt = now.plus(CATCH_UP_TIME);
    }
    previousTick = lastTick;
    lastTick = now;
  }

  /**
   * Returns the earliest time at which a request or connection that is read now can have arrived at
   * this machine.
   */
  public synchronized Instant arrivedSince(Instant now) {
    if (isPaused(now)) {
      return startOfPause();
    }
    Instant start = pausedSince;
    return start != null && now.isBefore(caughtUpAt) ? start : previousTick;
  }

  /**
   * Returns the length of the pause during which a request that is read now may have arrived; zero
   * if there was no pause shortly before.
   */
  public synchronized Duration pauseBefore(Instant now) {
    if (isPaused(now)) {
      return Duration.between(startOfPause(), now);
    }
    Instant start = pausedSince;
    return start != null && now.isBefore(caughtUpAt)
        ? Duration.between(start, pausedUntil)
        : Duration.ZERO;
  }

  private boolean isPaused(Instant now) {
    return Duration.between(lastTick, now).compareTo(MIN_PAUSE) > 0;
  }

  /** Pauses that follow each other closely count as one, because the sockets were not emptied. */
  private Instant startOfPause() {
    Instant start = pausedSince;
    return start != null && lastTick.isBefore(caughtUpAt) ? start : previousTick;
  }
}
