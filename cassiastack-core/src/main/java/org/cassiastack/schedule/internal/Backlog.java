package org.cassiastack.schedule.internal;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.cassiastack.model.ServiceName;

/**
 * Estimated processor time of all waiting tasks, as sums by demand, priority and lateness. The sums
 * are updated whenever a step changes, so that a query need not iterate over the steps.
 */
final class Backlog {
  private static final long NANOS_PER_MICRO = 1_000;

  private final IdentityHashMap<LiveStep, Share> shares = new IdentityHashMap<>();
  private final Map<Group, Long> milliCpuMicrosByGroup = new HashMap<>();

  /**
   * Counts a step with its current number of waiting tasks and its current lateness, in place of
   * what was counted for it before.
   */
  void update(LiveStep step) {
    remove(step);
    long milliCpuMicrosPerTask =
        step.spec.milliCpu() * (step.estimatedRunTime.toNanos() / NANOS_PER_MICRO);
    Share share = new Share(Group.of(step), step.waiting.size() * milliCpuMicrosPerTask);
    shares.put(step, share);
    milliCpuMicrosByGroup.merge(share.group, share.milliCpuMicros, Long::sum);
  }

  void remove(LiveStep step) {
    Share former = shares.remove(step);
    if (former != null) {
      milliCpuMicrosByGroup.computeIfPresent(
          former.group,
          (g, sum) -> sum == former.milliCpuMicros ? null : sum - former.milliCpuMicros);
    }
  }

  /**
   * Returns the processor time of the waiting tasks that start before those of a new job of the
   * given priority, in thousandths of a core times nanoseconds. Steps that are too late to be
   * useful do not count, because the new job starts before them.
   *
   * @param canServe returns whether any worker can take tasks of a demand; other tasks take no
   *     capacity from the new job
   */
  double cpuTimeAhead(ServiceName service, int priority, Predicate<Demand> canServe) {
    long sum = 0;
    for (Map.Entry<Group, Long> e : milliCpuMicrosByGroup.entrySet()) {
      Group g = e.getKey();
      boolean ahead = g.priority <= priority && g.lateness != Lateness.USELESS;
      boolean counts = ahead && e.getValue() != 0 && g.demand.service().equals(service);
      sum += counts && canServe.test(g.demand) ? e.getValue() : 0;
    }
    return (double) sum * NANOS_PER_MICRO;
  }

  private record Group(Demand demand, int priority, Lateness lateness) {
    static Group of(LiveStep s) {
      return new Group(s.demand, s.job.queue.priority(), s.lateness);
    }
  }

  /**
   * The amount that a step contributes to the sums.
   *
   * @param group the sum that the step contributes to
   * @param milliCpuMicros processor time in thousandths of a core times microseconds
   */
  private record Share(Group group, long milliCpuMicros) {}
}
