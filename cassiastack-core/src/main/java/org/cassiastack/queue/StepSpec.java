package org.cassiastack.queue;

import java.time.Duration;
import java.util.List;

/**
 * A step of a job: a number of tasks with the same resource needs and constraints.
 *
 * @param taskCount number of tasks of the step
 * @param milliCpu CPU that each task needs, in thousandths of a core
 * @param memoryMb memory that each task needs, in MiB
 * @param gpus number of GPUs that each task needs
 * @param estimatedRunTime the caller's estimate of the run time of one task; zero if there is none
 * @param dependsOn numbers of the earlier steps that have to be done before a task of this step
 *     starts
 * @param requiredLabel label that a minion must have to run the tasks; empty for none
 * @param dataRack label of the rack that holds the data of the step; minions of this rack are
 *     preferred, because they run the tasks faster; empty for none
 * @param maxPerMinion maximum number of tasks of the step on one minion at a time; 0 for no limit
 * @since 0.2
 */
public record StepSpec(
    int taskCount,
    long milliCpu,
    long memoryMb,
    long gpus,
    Duration estimatedRunTime,
    List<Integer> dependsOn,
    String requiredLabel,
    String dataRack,
    int maxPerMinion) {
  /** Maximum estimate of a run time; a longer one is reduced to it. */
  public static final Duration MAX_ESTIMATED_RUN_TIME = Duration.ofDays(1);

  /**
   * Creates a step; the list is copied, and the estimate is limited to the range from zero to
   * {@link #MAX_ESTIMATED_RUN_TIME}.
   *
   * @throws IllegalArgumentException if an amount of a resource is negative
   */
  public StepSpec {
    if (milliCpu < 0 || memoryMb < 0 || gpus < 0) {
      throw new IllegalArgumentException("a step needs a negative amount of a resource");
    }
    boolean tooLong = estimatedRunTime.compareTo(MAX_ESTIMATED_RUN_TIME) > 0;
    estimatedRunTime = tooLong ? MAX_ESTIMATED_RUN_TIME : estimatedRunTime;
    estimatedRunTime = estimatedRunTime.isNegative() ? Duration.ZERO : estimatedRunTime;
    dependsOn = List.copyOf(dependsOn);
  }

  /** Creates a step without GPUs, dependencies and placement constraints. */
  public static StepSpec plain(
      int taskCount, long milliCpu, long memoryMb, Duration estimatedRunTime) {
    return new StepSpec(taskCount, milliCpu, memoryMb, 0, estimatedRunTime, List.of(), "", "", 0);
  }

  /** Returns the resources that one task needs. */
  public Resources need() {
    return new Resources(milliCpu, memoryMb, gpus);
  }
}
