package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.time.Instant;

/**
 * How fast a worker is: the work of the runs that ended there against the time that they took. What
 * was seen of a slow worker is forgotten with time, since it is given little work that would show
 * that it is fast again.
 */
final class WorkerSpeed {
  /** Weight of the newest run: about ten runs make the figure. */
  private static final double WEIGHT = 0.1;

  private static final double SLOWEST = 0.02;
  private static final double FASTEST = 10;

  /** Speed of a worker of which nothing is known: the one at which estimates are right. */
  private static final double USUAL = 1;

  /** Slowness that was seen this long ago counts a third. */
  private static final Duration MEMORY = Duration.ofSeconds(5);

  private double speed = USUAL;
  private Instant observedAt = Instant.MIN;

  /** Returns the speed; 1 is the speed at which estimates are right. */
  double current(Instant now) {
    if (speed >= USUAL) {
      return speed;
    }
    double age = (double) Duration.between(observedAt, now).toNanos() / MEMORY.toNanos();
    return USUAL + (speed - USUAL) * Math.exp(-Math.max(0, age));
  }

  /** Takes note of the time that some work has taken. */
  void recordRun(Duration work, Duration taken, Instant now) {
    double ratio = (double) work.toNanos() / Math.max(1, taken.toNanos());
    double before = current(now);
    speed = before + WEIGHT * (Math.min(FASTEST, Math.max(SLOWEST, ratio)) - before);
    observedAt = now;
  }
}
