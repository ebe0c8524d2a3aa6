package org.cassiastack.queue;

import java.time.Instant;
import java.util.List;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.NodeId;
import org.jspecify.annotations.Nullable;

/**
 * The complete state of a {@link JobLedger}.
 *
 * @param at latest time of an applied batch, by the leader's clock
 * @param generation number of leader generations so far; each new leader begins a generation
 * @param configuration the configuration in force, or null before the first configuration
 * @param retiredQueues queues that the configuration in force no longer declares, but that live
 *     jobs use or that the last change removed
 * @param domainsOut failure domains that are out of service
 * @param agents agents to which a leader may grant leases
 * @param liveJobs jobs that have not ended
 * @param endedJobs jobs that have ended and have not been evicted, and jobs that were refused,
 *     whose phase is not final
 * @since 0.2
 */
public record LedgerSnapshot(
    Instant at,
    long generation,
    @Nullable QueueConfiguration configuration,
    List<Queue> retiredQueues,
    List<FailureDomain> domainsOut,
    List<NodeId> agents,
    List<LiveJob> liveJobs,
    List<EndedJob> endedJobs) {
  /**
   * A job that has not ended.
   *
   * @param acceptance the job as it was accepted
   * @param doneTasks numbers of the completed tasks, counted from 0 over all steps
   * @param failedRuns failed runs of all tasks
   */
  public record LiveJob(
      LedgerBatch.Acceptance acceptance, List<Integer> doneTasks, List<FailedRun> failedRuns) {}

  /**
   * A run that has failed.
   *
   * @param task number of the task, counted from 0 over all steps
   * @param run number of the run
   */
  public record FailedRun(int task, long run) {}

  /**
   * A job that has ended.
   *
   * @param id identity of the job
   * @param phase phase in which the job ended
   * @param at when the job ended: the latest time of a batch that was applied by then
   */
  public record EndedJob(QueuedJobId id, JobPhase phase, Instant at) {}
}
