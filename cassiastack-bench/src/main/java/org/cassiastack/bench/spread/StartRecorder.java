package org.cassiastack.bench.spread;

import java.util.concurrent.atomic.AtomicLong;
import org.cassiastack.bench.minion.TaskBehavior;

/** Counts the task starts in one failure domain and records the time of the last start. */
final class StartRecorder implements TaskBehavior {
  private final TaskBehavior behavior = TaskBehavior.specifiedByInput();
  private final AtomicLong starts = new AtomicLong();
  private final AtomicLong lateStarts = new AtomicLong();
  private volatile long lastStartNanos = System.nanoTime();
  private volatile long lateFromNanos;
  private volatile boolean countingLate;

  @Override
  public Outcome decide(String input) {
    long now = System.nanoTime();
    starts.incrementAndGet();
    synchronized (this) {
      notifyAll();
    }
    lastStartNanos = now;
    if (countingLate && now - lateFromNanos > 0) {
      lateStarts.incrementAndGet();
    }
    return behavior.decide(input);
  }

  /** Waits until at least {@code count} tasks have started since the recorder was created. */
  synchronized void awaitStarts(long count) throws InterruptedException {
    while (starts.get() < count) {
      wait();
    }
  }

  /**
   * Counts starts after a time as late.
   *
   * @param nanos the time, as returned by {@link System#nanoTime}
   */
  void countLateFrom(long nanos) {
    lateFromNanos = nanos;
    countingLate = true;
  }

  /** Ends the period in which starts can be late; the count of late starts stays. */
  void stopCountingLate() {
    countingLate = false;
  }

  long starts() {
    return starts.get();
  }

  long lateStarts() {
    return lateStarts.get();
  }

  long lastStartNanos() {
    return lastStartNanos;
  }
}
