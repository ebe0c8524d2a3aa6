package org.cassiastack.request;

import java.time.Duration;
import org.cassiastack.queue.QueuedJob;

/**
 * A caller hands in a job.
 *
 * @param requestId identity of the request
 * @param address the queue that is meant
 * @param job the job
 * @param timeout how much longer the caller waits for an answer
 * @param waitTime how long the caller had waited when this was sent
 * @since 0.2
 */
public record SubmitJob(
    long requestId, QueueAddress address, QueuedJob job, Duration timeout, Duration waitTime)
    implements LeaderRequest {
  /** Makes a request that has just come. */
  public static SubmitJob of(long call, QueueAddress address, QueuedJob job, Duration patience) {
    return new SubmitJob(call, address, job, patience, Duration.ZERO);
  }

  /** Returns the request as it is to be sent when its caller has waited for some time. */
  public SubmitJob withAdditionalWait(Duration time) {
    Duration left = timeout.minus(time);
    return new SubmitJob(requestId, address, job, left, waitTime.plus(time));
  }
}
