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
 * @param at the leader's time; it determines which ended jobs are evicted
 * @param newGeneration whether a new leader begins; it numbers its runs above those of all earlier
 *     leaders
 * @param configuration a configuration to store, or null for none
 * @param domainSwitches failure domains to take out of service or return to service
 * @param addedAgents agents that may hold leases from now on
 * @param removedAgents agents that no longer hold a lease
 * @param acceptedJobs jobs to accept
 * @param taskEnds ends of runs to record
 * @param cancelledJobs jobs to cancel
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
   * @param domain the failure domain
   * @param out whether the domain is out of service, so that no task may start there
   */
  public record DomainSwitch(FailureDomain domain, boolean out) {}

  /**
   * Accepts a job.
   *
   * @param job the job
   * @param queue name of the job's queue
   * @param maxAttempts number of failed runs of one task at which the job fails
   */
  public record Acceptance(QueuedJob job, String queue, int maxAttempts) {}

  /**
   * A run of a task has ended by itself.
   *
   * @param task the task
   * @param run number of the run; an end that is reported twice counts once
   * @param succeeded whether the run completed its task; otherwise it failed
   */
  public record TaskEnd(QueuedTaskId task, long run, boolean succeeded) {}
}
