package org.cassiastack.propagation;

import org.cassiastack.configuration.ApplyRequested;
import org.cassiastack.controller.Event;

/**
 * Operators handed a change to this process; it goes on to the control member that leads.
 *
 * @param request the change
 * @since 0.1
 */
public record ApplySubmitted(ApplyRequested request) implements Event {}
