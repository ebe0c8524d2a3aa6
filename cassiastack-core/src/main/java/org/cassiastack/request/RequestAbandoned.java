package org.cassiastack.request;

import org.cassiastack.controller.Event;

/**
 * Event: the caller of a request does not wait for the answer any more, because its connection to
 * the front end is lost or because it has closed it.
 *
 * @param requestId identity of the request
 * @since 0.5
 */
public record RequestAbandoned(long requestId) implements Event {}
