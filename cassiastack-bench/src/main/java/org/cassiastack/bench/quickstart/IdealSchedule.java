package org.cassiastack.bench.quickstart;

import java.time.Duration;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Computes the ideal time of one job, without network and dispatch cost: each task, in order, runs
 * on the slot that is free first.
 *
 * @since 0.1
 */
public final class IdealSchedule {
  private IdealSchedule() {}

  /**
   * Returns the time from the start of the first task to the end of the last task.
   *
   * @param runTimes run time of each task, in order
   * @param slots number of slots, at least 1
   */
  public static Duration length(List<Duration> runTimes, int slots) {
    PriorityQueue<Duration> freeAt = new PriorityQueue<>();
    for (int i = 0; i < slots; i++) {
      freeAt.add(Duration.ZERO);
    }
    Duration end = Duration.ZERO;
    for (Duration runTime : runTimes) {
      Duration taskEnd = freeAt.remove().plus(runTime);
      freeAt.add(taskEnd);
      end = end.compareTo(taskEnd) >= 0 ? end : taskEnd;
    }
    return end;
  }
}
