package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.cassiastack.queue.StepSpec;

/** How much work a task is: the caller's estimate, corrected by what runs of its queue took. */
final class RunTimeEstimates {
  /** Weight of the newest run. */
  private static final double WEIGHT = 0.05;

  /**
   * A run that took more than this many times what was expected, or less than this part of it,
   * tells more of its worker than of the work.
   */
  private static final double MOST_CHANGE = 3;

  /** Work of a task whose caller gives no estimate, until runs of its queue have ended. */
  private static final Duration UNKNOWN = Duration.ofMillis(300);

  private final Map<String, Double> ratios = new HashMap<>();

  /** Returns the run time of a task at a worker of the usual speed. */
  Duration estimate(String queue, StepSpec step) {
    double millis = base(step).toMillis() * ratios.getOrDefault(queue, 1.0);
    return Duration.ofMillis(Math.max(1, Math.round(millis)));
  }

  /** Takes note of what a run took at a worker of a speed, as a multiple of the usual one. */
  void recordRun(String queue, StepSpec step, Duration taken, double speed) {
    double ratio = taken.toNanos() * speed / base(step).toNanos();
    double known = ratios.getOrDefault(queue, 1.0);
    double seen = Math.min(known * MOST_CHANGE, Math.max(known / MOST_CHANGE, ratio));
    ratios.put(queue, known + WEIGHT * (seen - known));
  }

  private static Duration base(StepSpec step) {
    return step.estimatedRunTime().isZero() ? UNKNOWN : step.estimatedRunTime();
  }
}
