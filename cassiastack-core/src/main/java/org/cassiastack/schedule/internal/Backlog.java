package org.cassiastack.schedule.internal;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import org.cassiastack.model.ServiceName;

/** The work that waits, summed as steps come and go, so that reading it costs no look at them. */
final class Backlog {
  private static final long NANOS_PER_MICRO = 1_000;

  private final IdentityHashMap<LiveStep, Share> shares = new IdentityHashMap<>();
  private final Map<Group, Long> sums = new HashMap<>();

  /** Takes note of a step's waiting tasks, priority and lateness as they are now. */
  void update(LiveStep step) {
    remove(step);
    long work = step.spec.milliCpu() * (step.estimatedRunTime.toNanos() / NANOS_PER_MICRO);
    Share share = new Share(Group.of(step), step.waiting.size() * work);
    shares.put(step, share);
    sums.merge(share.group, share.work, Long::sum);
  }

  void remove(LiveStep step) {
    Share former = shares.remove(step);
    if (former != null) {
      sums.merge(former.group, -former.work, Long::sum);
    }
  }

  /**
   * Returns the work that waits in front of a new job of a priority, in thousandths of a core times
   * nanoseconds; what is of no use any more gives way to it.
   */
  double workAhead(ServiceName service, int priority) {
    long sum = 0;
    for (Map.Entry<Group, Long> e : sums.entrySet()) {
      Group g = e.getKey();
      boolean before = g.priority <= priority && g.lateness != Lateness.USELESS;
      sum += before && g.service.equals(service) ? e.getValue() : 0;
    }
    return (double) sum * NANOS_PER_MICRO;
  }

  private record Group(ServiceName service, int priority, Lateness lateness) {
    static Group of(LiveStep s) {
      return new Group(s.job.queue.service(), s.job.queue.priority(), s.lateness);
    }
  }

  /**
   * What a step has been counted with.
   *
   * @param work thousandths of a core times microseconds
   */
  private record Share(Group group, long work) {}
}
