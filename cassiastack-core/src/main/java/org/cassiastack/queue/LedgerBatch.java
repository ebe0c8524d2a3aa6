package org.cassiastack.queue;

import java.time.Instant;
import java.util.List;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.NodeId;
import org.jspecify.annotations.Nullable;

/**
 * One command of the replicated log: changes that are committed together. They take effect in the
 * order of the components.
 *
 * @param at time of the proposal by the leader's clock; determines which ended jobs are evicted
 * @param newGeneration whether the batch begins the generation of a new leader; the leader numbers
 *     its runs above the runs of all earlier leaders
 * @param configuration configuration that comes into force if its version is the highest so far;
 *     null for none
 * @param domainSwitches failure domains to take out of service or return to service
 * @param addedAgents agents to which the leader may grant leases once the batch is committed
 * @param removedAgents agents to which the leader no longer grants leases
 * @param acceptedJobs jobs to accept; a job with a known identity, or with a queue that the ledger
 *     does not know, is ignored
 * @param taskEnds ends of runs that completed or failed
 * @param cancelledJobs identities of the jobs to cancel. A job that the ledger does not know is
 *     never accepted after its cancellation: this is how the refusal of a job is recorded
 * @since 0.2
 */
public record LedgerBatch(
    Instant at,
    boolean newGeneration,
    @Nullable QueueConfiguration configuration,
    List<DomainSwitch> domainSwitches,
    List<NodeId> addedAgents,
    List<NodeId> removedAgents,
    List<Acceptance> acceptedJobs,
    List<TaskEnd> taskEnds,
    List<QueuedJobId> cancelledJobs) {
  /** Creates a batch; the lists are copied. */
  public LedgerBatch {
    domainSwitches = List.copyOf(domainSwitches);
    addedAgents = List.copyOf(addedAgents);
    removedAgents = List.copyOf(removedAgents);
    acceptedJobs = List.copyOf(acceptedJobs);
    taskEnds = List.copyOf(taskEnds);
    cancelledJobs = List.copyOf(cancelledJobs);
  }

  /**
   * Takes a failure domain out of service or returns it to service.
   *
   * @param domain failure domain to switch
   * @param out true to take the domain out of service, so that no task is started in it; false to
   *     return it to service
   */
  public record DomainSwitch(FailureDomain domain, boolean out) {}

  /**
   * Accepts a job.
   *
   * @param job the job as its caller submitted it
   * @param queue name of the job's queue
   * @param maxAttempts number of failed runs of one task at which the job fails
   */
  public record Acceptance(QueuedJob job, String queue, int maxAttempts) {}

  /**
   * End of a run that completed or failed. A run that ended for another reason, such as a stop
   * order or an expired lease, is not recorded.
   *
   * @param task task that the run executed
   * @param run number of the run; an end that is reported twice counts once
   * @param succeeded whether the run completed its task; otherwise it failed
   */
  public record TaskEnd(QueuedTaskId task, long run, boolean succeeded) {}
}
