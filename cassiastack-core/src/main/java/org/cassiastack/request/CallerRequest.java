package org.cassiastack.request;

import java.time.Duration;
import java.util.function.LongFunction;

/**
 * A caller's request on its way through the filter chain.
 *
 * @param kind what it asks for
 * @param address the queue, and the job at the end of the path
 * @param timeout how long the caller waits
 * @param requestFactory makes the request to the leader, given its identity
 * @since 0.2
 */
public record CallerRequest(
    Kind kind, QueueAddress address, Duration timeout, LongFunction<LeaderRequest> requestFactory) {
  /** What a caller asks for. */
  public enum Kind {
    /** To run a job. */
    SUBMIT,
    /** The phase of a job, or the number of waiting jobs. */
    ASK,
    /** To cancel a job. */
    CANCEL
  }
}
