package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.time.Instant;

/**
 * Speed of a worker: robust average over the worker's completed runs of the logarithm of the ratio
 * of estimated to actual run time. A speed below nominal returns towards nominal with time, because
 * a slow worker gets few tasks that could show that it has become faster.
 */
final class WorkerSpeed {
  /** Weight of the newest run; the average covers about ten runs. */
  private static final double NEWEST_RUN_WEIGHT = 0.1;

  /**
   * Bound on the deviation that is recorded of one run, as a logarithm. A single task that takes
   * seven times as long as estimated lowers the speed by a tenth at most.
   */
  private static final double MAX_DEVIATION = 1;

  /** Lower bound for the speed that one run contributes to the average. */
  private static final double MIN_SPEED = 0.02;

  /** Upper bound for the speed that one run contributes to the average. */
  private static final double MAX_SPEED = 10;

  /** Speed of a worker without observations: runs take as long as estimated. */
  private static final double NOMINAL_SPEED = 1;

  /**
   * Time after which the distance of a low speed from nominal has decayed to 1/e, about a third.
   */
  private static final Duration SLOWNESS_DECAY = Duration.ofSeconds(5);

  private double speed = NOMINAL_SPEED;
  private long runs;
  private Instant lastRunAt = Instant.MIN;

  /** Returns the speed; at 1, runs take as long as estimated. */
  double current(Instant now) {
    if (speed >= NOMINAL_SPEED) {
      return speed;
    }
    double age = (double) Duration.between(lastRunAt, now).toNanos() / SLOWNESS_DECAY.toNanos();
    return NOMINAL_SPEED + (speed - NOMINAL_SPEED) * Math.exp(-Math.max(0, age));
  }

  /** Returns the number of completed runs that the speed was learned from. */
  long samples() {
    return runs;
  }

  /**
   * Records a run that has completed.
   *
   * @param estimated estimated run time of the task
   * @param taken actual run time
   * @param now when the run completed
   */
  void recordRun(Duration estimated, Duration taken, Instant now) {
    double ratio = (double) estimated.toNanos() / Math.max(1, taken.toNanos());
    double before = current(now);
    double deviation = Math.log(Math.min(MAX_SPEED, Math.max(MIN_SPEED, ratio)) / before);
    double bounded = Math.min(MAX_DEVIATION, Math.max(-MAX_DEVIATION, deviation));
    speed = before * Math.exp(NEWEST_RUN_WEIGHT * bounded);
    runs++;
    lastRunAt = now;
  }
}
