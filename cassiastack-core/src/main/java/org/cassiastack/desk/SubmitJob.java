package org.cassiastack.desk;

import java.time.Duration;
import org.cassiastack.queue.QueuedJob;

/**
 * A caller hands in a job.
 *
 * @param call identity of the request
 * @param address the queue that is meant
 * @param job the job
 * @param patience how much longer the caller waits for an answer
 * @param waited how long the caller had waited when this was sent
 * @since 0.2
 */
public record SubmitJob(
    long call, QueueAddress address, QueuedJob job, Duration patience, Duration waited)
    implements LeaderRequest {
  /** Makes a request that has just come. */
  public static SubmitJob of(long call, QueueAddress address, QueuedJob job, Duration patience) {
    return new SubmitJob(call, address, job, patience, Duration.ZERO);
  }

  /** Returns the request as it is to be sent when its caller has waited for some time. */
  public SubmitJob sentAfter(Duration time) {
    Duration left = patience.minus(time);
    return new SubmitJob(call, address, job, left, waited.plus(time));
  }
}
