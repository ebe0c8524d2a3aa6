package org.cassiastack.queue;

import java.util.List;

/**
 * A job as its caller submitted it.
 *
 * @param id identity of the job
 * @param spec description of the work for the minions, opaque to the dispatcher
 * @param steps steps of the job, in the order of their numbers
 * @param durable whether the job is stored in the replicated log and can be queried later; the
 *     submission of a job that is not durable is answered when the job has ended, and the job may
 *     be lost with the process that dispatches it
 * @since 0.2
 */
public record QueuedJob(QueuedJobId id, String spec, List<StepSpec> steps, boolean durable) {
  /** Creates a job; the list is copied. */
  public QueuedJob {
    steps = List.copyOf(steps);
  }

  /** Returns the total number of tasks over all steps. */
  public int taskCount() {
    return steps.stream().mapToInt(StepSpec::taskCount).sum();
  }
}
