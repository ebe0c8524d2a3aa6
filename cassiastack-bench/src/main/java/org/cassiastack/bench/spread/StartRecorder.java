package org.cassiastack.bench.spread;

import java.util.concurrent.atomic.AtomicLong;
import org.cassiastack.bench.minion.TaskBehavior;

/** Records when tasks reach the minions of one failure domain. */
final class StartRecorder implements TaskBehavior {
  private final TaskBehavior behavior = TaskBehavior.specifiedByInput();
  private final AtomicLong starts = new AtomicLong();
  private final AtomicLong lateStarts = new AtomicLong();
  private volatile long lastStartNanos = System.nanoTime();
  private volatile long boundNanos;
  private volatile boolean bounded;

  @Override
  public Outcome decide(String input) {
    long now = System.nanoTime();
    starts.incrementAndGet();
    synchronized (this) {
      notifyAll();
    }
    lastStartNanos = now;
    if (bounded && now - boundNanos > 0) {
      lateStarts.incrementAndGet();
    }
    return behavior.decide(input);
  }

  /** Waits until there have been so many starts. */
  synchronized void awaitStarts(long count) throws InterruptedException {
    while (starts.get() < count) {
      wait();
    }
  }

  /** From a moment on, starts are late. */
  void countLateFrom(long nanos) {
    boundNanos = nanos;
    bounded = true;
  }

  /** Starts are no longer late. */
  void stopCountingLate() {
    bounded = false;
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
