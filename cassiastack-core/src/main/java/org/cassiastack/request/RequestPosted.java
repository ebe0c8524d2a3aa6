package org.cassiastack.request;

import java.time.Instant;
import org.cassiastack.controller.Event;
import org.jspecify.annotations.Nullable;

/**
 * Event: a front end has received a request to be answered by the leader.
 *
 * @param request the request
 * @param deadline time after which an answer is too late to be useful
 * @param arrival how the request came, for the log; null if the front end does not tell
 * @since 0.2
 */
public record RequestPosted(
    LeaderRequest request, Instant deadline, @Nullable RequestArrival arrival) implements Event {
  /** Creates the event for a request of which the front end does not tell how it came. */
  public RequestPosted(LeaderRequest request, Instant deadline) {
    this(request, deadline, null);
  }
}
