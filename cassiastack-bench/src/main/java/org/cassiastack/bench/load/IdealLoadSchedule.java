package org.cassiastack.bench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Computes the job times of a load plan on an ideal system without network or dispatch cost.
 *
 * <p>The ideal system has one queue, in order of arrival and task index. It knows the speed of each
 * minion and the run time of each task, and runs each task on the slot on which the task ends
 * first.
 *
 * <p>The schedule is greedy, so another order of tasks could be better for some jobs. A measured
 * job time may therefore be less than the ideal job time.
 *
 * @since 0.1
 */
public final class IdealLoadSchedule {
  private final double[] freeAtMillis;
  private final double[] speeds;

  private IdealLoadSchedule(int slots, List<Double> minionSpeeds) {
    int slotCount = slots * minionSpeeds.size();
    freeAtMillis = new double[slotCount];
    speeds = new double[slotCount];
    for (int i = 0; i < slotCount; i++) {
      speeds[i] = minionSpeeds.get(i % minionSpeeds.size());
    }
  }

  /** Returns the ideal job time of each job, in the order of the plan. */
  public static List<Duration> jobTimes(LoadPlan plan, Preset preset) {
    IdealLoadSchedule schedule = new IdealLoadSchedule(preset.slots(), preset.speeds());
    List<Duration> times = new ArrayList<>();
    for (PlannedJob job : plan.jobs()) {
      times.add(schedule.schedule(job));
    }
    return times;
  }

  private Duration schedule(PlannedJob job) {
    double arrivalMillis = job.arrivalOffset().toNanos() / 1e6;
    double endMillis = arrivalMillis;
    for (int runMillis : job.runMillis()) {
      endMillis = Math.max(endMillis, scheduleTask(arrivalMillis, runMillis));
    }
    return Duration.ofNanos((long) ((endMillis - arrivalMillis) * 1e6));
  }

  private double scheduleTask(double arrivalMillis, int runMillis) {
    int bestSlot = 0;
    double bestEndMillis = Double.MAX_VALUE;
    for (int slot = 0; slot < freeAtMillis.length; slot++) {
      double endMillis = Math.max(freeAtMillis[slot], arrivalMillis) + runMillis / speeds[slot];
      if (endMillis < bestEndMillis) {
        bestSlot = slot;
        bestEndMillis = endMillis;
      }
    }
    freeAtMillis[bestSlot] = bestEndMillis;
    return bestEndMillis;
  }
}
