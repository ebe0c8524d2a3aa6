package org.cassiastack.bench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Job times of a plan with no cost of dispatch: one queue for the whole system, in order of arrival
 * and task, each task at the slot where it ends first, known speeds, no network.
 *
 * <p>The schedule is greedy, so another order of tasks could do better for some jobs; a measured
 * job may take less than its ideal.
 *
 * @since 0.1
 */
public final class IdealLoadSchedule {
  private final double[] freeAt;
  private final double[] speeds;

  private IdealLoadSchedule(int slots, List<Double> minionSpeeds) {
    int count = slots * minionSpeeds.size();
    freeAt = new double[count];
    speeds = new double[count];
    for (int i = 0; i < count; i++) {
      speeds[i] = minionSpeeds.get(i % minionSpeeds.size());
    }
  }

  /** Returns the ideal time of each job of the plan, in order. */
  public static List<Duration> jobTimes(LoadPlan plan, Preset preset) {
    IdealLoadSchedule ideal = new IdealLoadSchedule(preset.slots(), preset.speeds());
    List<Duration> times = new ArrayList<>();
    for (PlannedJob j : plan.jobs()) {
      times.add(ideal.run(j));
    }
    return times;
  }

  private Duration run(PlannedJob job) {
    double arrival = job.arrivalOffset().toNanos() / 1e6;
    double end = arrival;
    for (int millis : job.runMillis()) {
      end = Math.max(end, place(arrival, millis));
    }
    return Duration.ofNanos((long) ((end - arrival) * 1e6));
  }

  private double place(double arrival, int millis) {
    int best = 0;
    double bestEnd = Double.MAX_VALUE;
    for (int i = 0; i < freeAt.length; i++) {
      double end = Math.max(freeAt[i], arrival) + millis / speeds[i];
      if (end < bestEnd) {
        best = i;
        bestEnd = end;
      }
    }
    freeAt[best] = bestEnd;
    return bestEnd;
  }
}
