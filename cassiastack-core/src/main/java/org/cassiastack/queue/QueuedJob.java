package org.cassiastack.queue;

import java.util.List;

/**
 * A job as its caller handed it in.
 *
 * @param id its identity
 * @param spec what the minions are told to run, opaque here
 * @param steps its steps
 * @param durable whether the job is stored and can be asked for later; one that is not kept answers
 *     its caller when it has ended and may be lost with the process that runs it
 * @since 0.2
 */
public record QueuedJob(QueuedJobId id, String spec, List<StepSpec> steps, boolean durable) {
  /** Makes a job; the list is copied. */
  public QueuedJob {
    steps = List.copyOf(steps);
  }

  /** Returns the number of tasks of all steps. */
  public int taskCount() {
    return steps.stream().mapToInt(StepSpec::taskCount).sum();
  }
}
