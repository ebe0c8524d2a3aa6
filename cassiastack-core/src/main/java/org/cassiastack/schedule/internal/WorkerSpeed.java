package org.cassiastack.schedule.internal;

import java.time.Duration;

/** How fast a worker is: the work of the runs that ended there against the time that they took. */
final class WorkerSpeed {
  /** Weight of the newest run: about ten runs make the figure. */
  private static final double WEIGHT = 0.1;

  private static final double SLOWEST = 0.02;
  private static final double FASTEST = 10;

  private double speed = 1;

  /** Returns the speed; 1 is the speed at which estimates are right. */
  double value() {
    return speed;
  }

  void observed(Duration work, Duration taken) {
    double ratio = (double) work.toNanos() / Math.max(1, taken.toNanos());
    speed += WEIGHT * (Math.min(FASTEST, Math.max(SLOWEST, ratio)) - speed);
  }
}
