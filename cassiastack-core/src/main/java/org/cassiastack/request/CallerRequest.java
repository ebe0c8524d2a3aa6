package org.cassiastack.request;

import java.time.Duration;
import java.util.function.LongFunction;
import org.jspecify.annotations.Nullable;

/**
 * A caller's request on its way through the filter chain.
 *
 * @param kind what the caller requests
 * @param address address that determines the queue; its path also names the job, unless the number
 *     of jobs is requested
 * @param timeout how long the caller still waits for the answer
 * @param delayed whether the request may have waited unread while the process was paused. Its
 *     caller may have sent it to another node meanwhile
 * @param arrival how the request came, for the log; null if the front end does not tell
 * @param requestFactory creates the request to the leader; its argument is the {@code requestId}
 * @since 0.2
 */
public record CallerRequest(
    Kind kind,
    QueueAddress address,
    Duration timeout,
    boolean delayed,
    @Nullable RequestArrival arrival,
    LongFunction<LeaderRequest> requestFactory) {
  /** Kind of a caller's request. */
  public enum Kind {
    /** Run a job. */
    SUBMIT,
    /** Return the phase of a job, or the number of jobs of a queue that have not started. */
    ASK,
    /** Cancel a job. */
    CANCEL
  }
}
