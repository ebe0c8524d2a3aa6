package org.cassiastack.request;

/**
 * An entry submits to the leader a job that it has sent to another dispatcher before, so that runs
 * of its tasks may exist.
 *
 * @param submission the job
 * @since 0.4
 */
public record ResubmitJob(SubmitJob submission) implements LeaderRequest {
  @Override
  public long requestId() {
    return submission.requestId();
  }
}
