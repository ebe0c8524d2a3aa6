package org.cassiastack.request;

import java.time.Instant;
import org.cassiastack.controller.Event;

/**
 * Event: a front end has received a request to be answered by the leader.
 *
 * @param request the request
 * @param deadline time after which an answer is too late to be useful
 * @since 0.2
 */
public record RequestPosted(LeaderRequest request, Instant deadline) implements Event {}
