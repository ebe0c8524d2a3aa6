package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.cassiastack.queue.StepSpec;

/**
 * Estimates run times of tasks: the caller's estimate, corrected by past run times per queue. The
 * correction is an average of logarithms with bounded deviations, so that a small share of very
 * long tasks hardly changes it.
 */
final class RunTimeEstimates {
  /** Weight of the newest run in the moving average of a queue's ratio. */
  private static final double NEWEST_RUN_WEIGHT = 0.05;

  /**
   * Bound on the deviation that is recorded of one run, as a logarithm: a run time above three
   * times or below a third of the expected time depends more on the worker or on chance than on the
   * task.
   */
  private static final double MAX_DEVIATION = Math.log(3);

  /** Estimate for a task whose caller gives none, until runs of its queue have ended. */
  private static final Duration DEFAULT_RUN_TIME = Duration.ofMillis(300);

  /** Logarithm of the run time at median speed divided by the base estimate, by queue name. */
  private final Map<String, Double> logRatios = new HashMap<>();

  /** Returns the estimated run time of a task at a worker of median speed. */
  Duration estimate(String queue, StepSpec step) {
    double millis = baseEstimate(step).toMillis() * Math.exp(logRatios.getOrDefault(queue, 0.0));
    return Duration.ofMillis(Math.max(1, Math.round(millis)));
  }

  /**
   * Records the run time of a task.
   *
   * @param queue name of the task's queue
   * @param step the task's step
   * @param taken measured run time of the task
   * @param speed speed of the worker, as a multiple of the median speed
   */
  void recordRun(String queue, StepSpec step, Duration taken, double speed) {
    double ratio = Math.max(1, taken.toNanos()) * speed / baseEstimate(step).toNanos();
    double former = logRatios.getOrDefault(queue, 0.0);
    double deviation = Math.log(ratio) - former;
    double bounded = Math.min(MAX_DEVIATION, Math.max(-MAX_DEVIATION, deviation));
    logRatios.put(queue, former + NEWEST_RUN_WEIGHT * bounded);
  }

  private static Duration baseEstimate(StepSpec step) {
    return step.estimatedRunTime().isZero() ? DEFAULT_RUN_TIME : step.estimatedRunTime();
  }
}
