package org.cassiastack.request;

/**
 * An entry submits to a fallback dispatcher a job that it has sent to no other process.
 *
 * @param submission the job
 * @param configurationVersion version of the newest configuration that the entry knows; a fallback
 *     dispatcher with an older one does not take the job
 * @since 0.4
 */
public record FallbackSubmit(SubmitJob submission, long configurationVersion)
    implements LeaderRequest {
  @Override
  public long requestId() {
    return submission.requestId();
  }
}
