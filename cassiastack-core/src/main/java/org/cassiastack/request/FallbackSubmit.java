package org.cassiastack.request;

import java.time.Instant;
import org.jspecify.annotations.Nullable;

/**
 * An entry submits to a fallback dispatcher a job that it has sent to no other process.
 *
 * @param submission the job
 * @param configurationVersion version of the newest configuration that the entry knows; a fallback
 *     dispatcher with an older one does not take the job
 * @param probeSentAt {@link CallerProbe#sentAt} of the last probe of the dispatcher, or null
 * @since 0.4
 */
public record FallbackSubmit(
    SubmitJob submission, long configurationVersion, @Nullable Instant probeSentAt)
    implements LeaderRequest {
  @Override
  public long requestId() {
    return submission.requestId();
  }
}
