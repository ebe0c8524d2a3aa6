package org.cassiastack.request;

import java.time.Instant;

/**
 * An entry submits a job to a leader that has sent it a {@link CallerProbe}, so that the job counts
 * as awaited without another probe.
 *
 * @param submission the job
 * @param probeSentAt {@link CallerProbe#sentAt} of the last probe of the leader
 * @since 0.5
 */
public record AwaitedSubmit(SubmitJob submission, Instant probeSentAt) implements LeaderRequest {
  @Override
  public long requestId() {
    return submission.requestId();
  }
}
