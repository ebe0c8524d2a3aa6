package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.time.Instant;

/**
 * Decides whether a new job can still be of use, by the work in front of it and the room that works
 * it off. A job that cannot is refused at once, so that its caller need not wait to learn it.
 */
final class Admission {
  /** Shortest time after which a refused caller is asked to come back. */
  private static final Duration SHORTEST_RETRY = Duration.ofSeconds(1);

  private Admission() {}

  /**
   * Returns how long the work in front of a job takes.
   *
   * @param backlog thousandths of a core times nanoseconds
   * @param milliCpu the processors that work it off, in thousandths of a core at speed 1
   */
  static Duration queueingDelay(double backlog, double milliCpu) {
    return milliCpu <= 0 ? Duration.ZERO : Duration.ofNanos((long) (backlog / milliCpu));
  }

  /** Tells whether a job that starts after a delay still ends in time to be of use. */
  static boolean canEndUsefully(LiveJob job, Duration delay, Instant now) {
    Instant starts = now.plus(delay);
    return job.steps.stream().allMatch(s -> job.lateness(s, starts) != Lateness.USELESS);
  }

  /** Returns when the backlog will have gone down enough to come back. */
  static Duration retryAfter(Duration delay) {
    return delay.compareTo(SHORTEST_RETRY) > 0 ? delay : SHORTEST_RETRY;
  }
}
