package org.cassiastack.request;

import java.time.Duration;
import java.util.function.LongFunction;

/**
 * A caller's request on its way through the filter chain.
 *
 * @param kind what the caller requests
 * @param address address of the queue, with the identity of the job at the end of the path
 * @param timeout how long the caller waits for the answer
 * @param requestFactory creates the request to the leader from the identity that is given to it
 * @since 0.2
 */
public record CallerRequest(
    Kind kind, QueueAddress address, Duration timeout, LongFunction<LeaderRequest> requestFactory) {
  /** Kind of a caller's request. */
  public enum Kind {
    /** Run a job. */
    SUBMIT,
    /** Return the phase of a job, or the number of jobs that have not started. */
    ASK,
    /** Cancel a job. */
    CANCEL
  }
}
