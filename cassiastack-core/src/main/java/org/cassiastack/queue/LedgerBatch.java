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
 * @param at the leader's time; it decides when ended jobs are forgotten
 * @param newGeneration whether a new leader begins, which numbers its runs above all earlier ones
 * @param configuration a configuration to store, or null
 * @param domainSwitches failure domains to take out or bring back
 * @param addedAgents agents that may be given leases from now on
 * @param removedAgents agents that hold no lease any more
 * @param acceptedJobs jobs to accept
 * @param taskEnds ends of tasks
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
  /** Makes a batch; the lists are copied. */
  public LedgerBatch {
    domainSwitches = List.copyOf(domainSwitches);
    addedAgents = List.copyOf(addedAgents);
    removedAgents = List.copyOf(removedAgents);
    acceptedJobs = List.copyOf(acceptedJobs);
    taskEnds = List.copyOf(taskEnds);
    cancelledJobs = List.copyOf(cancelledJobs);
  }

  /**
   * A failure domain is taken out or brought back.
   *
   * @param domain the failure domain
   * @param out whether nothing may start there
   */
  public record DomainSwitch(FailureDomain domain, boolean out) {}

  /**
   * A job is accepted.
   *
   * @param job the job
   * @param queue name of its queue
   * @param maxAttempts failed runs of one task that fail the job
   */
  public record Acceptance(QueuedJob job, String queue, int maxAttempts) {}

  /**
   * A run of a task has ended by itself.
   *
   * @param task the task
   * @param run number of the run; an end that is told twice counts once
   * @param succeeded whether it did its work; otherwise it failed
   */
  public record TaskEnd(QueuedTaskId task, long run, boolean succeeded) {}
}
