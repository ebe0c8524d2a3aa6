package org.cassiastack.job;

import org.cassiastack.controller.Event;
import org.cassiastack.model.Job;
import org.cassiastack.model.Refusal;
import org.jspecify.annotations.Nullable;

/**
 * A caller submits a job and waits for its answer.
 *
 * @param caller who waits
 * @param job the job
 * @param refusal why the job must not be taken if it is new, or null
 * @since 0.1
 */
public record JobSubmitted(CallerId caller, Job job, @Nullable Refusal refusal) implements Event {
  /** A submission that nothing speaks against so far. */
  public JobSubmitted(CallerId caller, Job job) {
    this(caller, job, null);
  }
}
