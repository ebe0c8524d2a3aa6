package org.cassiastack.bench.quickstart;

import java.time.Duration;
import java.util.List;
import java.util.PriorityQueue;

/**
 * The time that a job would take on its slots with no cost of dispatch: each task in order goes to
 * the slot that is free first.
 *
 * @since 0.1
 */
public final class IdealSchedule {
  private IdealSchedule() {}

  /**
   * Returns the length of the schedule.
   *
   * @param runTimes run time of each task, in order
   * @param slots number of slots, at least 1
   */
  public static Duration length(List<Duration> runTimes, int slots) {
    PriorityQueue<Duration> free = new PriorityQueue<>();
    for (int i = 0; i < slots; i++) {
      free.add(Duration.ZERO);
    }
    Duration end = Duration.ZERO;
    for (Duration t : runTimes) {
      Duration done = free.remove().plus(t);
      free.add(done);
      end = end.compareTo(done) >= 0 ? end : done;
    }
    return end;
  }
}
