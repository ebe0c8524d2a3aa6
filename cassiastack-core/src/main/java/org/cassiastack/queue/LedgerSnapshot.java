package org.cassiastack.queue;

import java.time.Instant;
import java.util.List;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.NodeId;
import org.jspecify.annotations.Nullable;

/**
 * The whole state of a {@link JobLedger}.
 *
 * @param at time of the last batch
 * @param generation number of leaders so far
 * @param configuration the configuration in force, or null
 * @param retiredQueues queues that are no longer declared but have live jobs
 * @param domainsOut failure domains that are out
 * @param agents agents that may hold leases
 * @param liveJobs jobs that have not ended
 * @param endedJobs jobs that have
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
   * @param doneTasks numbers of the tasks that are done, counted over all steps
   * @param failedRuns runs that have failed
   */
  public record LiveJob(
      LedgerBatch.Acceptance acceptance, List<Integer> doneTasks, List<FailedRun> failedRuns) {}

  /**
   * A run that has failed.
   *
   * @param task number of the task, counted over all steps
   * @param run number of the run
   */
  public record FailedRun(int task, long run) {}

  /**
   * A job that has ended.
   *
   * @param id its identity
   * @param phase how it ended
   * @param at when it ended
   */
  public record EndedJob(QueuedJobId id, JobPhase phase, Instant at) {}
}
