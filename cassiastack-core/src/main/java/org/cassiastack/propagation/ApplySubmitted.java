package org.cassiastack.propagation;

import org.cassiastack.configuration.ApplyRequested;
import org.cassiastack.controller.Event;

/**
 * Operators have submitted a change to this process, which routes it to the control member that is
 * the leader.
 *
 * @param request the request to route
 * @since 0.1
 */
public record ApplySubmitted(ApplyRequested request) implements Event {}
