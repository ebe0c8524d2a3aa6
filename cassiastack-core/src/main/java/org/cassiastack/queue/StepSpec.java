package org.cassiastack.queue;

import java.time.Duration;
import java.util.List;

/**
 * A number of equal tasks of a job.
 *
 * @param taskCount number of tasks
 * @param milliCpu processor that each task needs, in thousandths of a core
 * @param memoryMb memory that each task needs, in MiB
 * @param gpus accelerators that each task needs
 * @param estimatedRunTime the caller's estimate of a task's run time; zero when there is none
 * @param after numbers of earlier steps that have to be done first
 * @param requiredLabel label that a minion must have, empty for none
 * @param dataRack label of the rack that holds the data, empty for none
 * @param maxPerMinion most tasks of the step on one minion at a time, 0 for no bound
 * @since 0.2
 */
public record StepSpec(
    int taskCount,
    long milliCpu,
    long memoryMb,
    long gpus,
    Duration estimatedRunTime,
    List<Integer> after,
    String requiredLabel,
    String dataRack,
    int maxPerMinion) {
  /** Makes a step; the list is copied. */
  public StepSpec {
    after = List.copyOf(after);
  }

  /** Makes a step of plain tasks without conditions. */
  public static StepSpec plain(int tasks, long milliCpu, long memoryMb, Duration estimate) {
    return new StepSpec(tasks, milliCpu, memoryMb, 0, estimate, List.of(), "", "", 0);
  }

  /** Returns the resources that one task takes up. */
  public Resources need() {
    return new Resources(milliCpu, memoryMb, gpus);
  }
}
