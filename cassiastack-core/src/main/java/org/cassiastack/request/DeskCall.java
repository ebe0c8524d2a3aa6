package org.cassiastack.request;

import java.time.Instant;
import org.cassiastack.controller.Event;

/**
 * A front end wants a request answered.
 *
 * @param request the request
 * @param deadline when an answer is of no more use
 * @since 0.2
 */
public record DeskCall(LeaderRequest request, Instant deadline) implements Event {}
