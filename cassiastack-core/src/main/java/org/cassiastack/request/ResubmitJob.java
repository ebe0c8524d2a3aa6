package org.cassiastack.request;

import java.time.Instant;
import org.jspecify.annotations.Nullable;

/**
 * An entry submits to the leader a job that it has sent to another dispatcher before, so that runs
 * of its tasks may exist.
 *
 * @param submission the job
 * @param probeSentAt {@link CallerProbe#sentAt} of the last probe of the leader, or null
 * @since 0.4
 */
public record ResubmitJob(SubmitJob submission, @Nullable Instant probeSentAt)
    implements LeaderRequest {
  @Override
  public long requestId() {
    return submission.requestId();
  }
}
