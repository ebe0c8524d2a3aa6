package org.cassiastack.job;

import org.cassiastack.controller.Event;
import org.cassiastack.model.Job;
import org.cassiastack.model.Refusal;
import org.jspecify.annotations.Nullable;

/**
 * A caller submits a job and waits for the answer of the job.
 *
 * @param requestId the request that waits for the answer
 * @param job the submitted job
 * @param refusal the reason to refuse the job if it is new, or null if no filter has refused it
 * @since 0.1
 */
public record JobSubmitted(CallerRequestId requestId, Job job, @Nullable Refusal refusal)
    implements Event {
  /** Creates a submission without a reason to refuse the job. */
  public JobSubmitted(CallerRequestId caller, Job job) {
    this(caller, job, null);
  }
}
