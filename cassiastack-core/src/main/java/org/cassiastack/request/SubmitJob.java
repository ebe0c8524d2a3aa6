package org.cassiastack.request;

import java.time.Duration;
import org.cassiastack.queue.QueuedJob;

/**
 * A caller submits a job.
 *
 * @param requestId identity of the request
 * @param address address that determines the queue
 * @param job the job as its caller submitted it
 * @param timeout how long the caller still waits for an answer when this message is sent
 * @param waitTime how long the caller has already waited when this message is sent
 * @since 0.2
 */
public record SubmitJob(
    long requestId, QueueAddress address, QueuedJob job, Duration timeout, Duration waitTime)
    implements LeaderRequest {
  /** Creates the request of a caller that has not waited yet. */
  public static SubmitJob of(
      long requestId, QueueAddress address, QueuedJob job, Duration timeout) {
    return new SubmitJob(requestId, address, job, timeout, Duration.ZERO);
  }

  /**
   * Returns a copy to be sent after the caller has waited for the given time: the timeout is
   * shorter and the wait time is longer by that time.
   */
  public SubmitJob withAdditionalWait(Duration additionalWait) {
    Duration remaining = timeout.minus(additionalWait);
    return new SubmitJob(requestId, address, job, remaining, waitTime.plus(additionalWait));
  }
}
