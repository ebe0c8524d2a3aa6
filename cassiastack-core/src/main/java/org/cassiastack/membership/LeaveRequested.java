package org.cassiastack.membership;

import org.cassiastack.controller.Event;

/**
 * The process was asked to stop: it takes no new work and finishes what it has.
 *
 * @since 0.1
 */
public record LeaveRequested() implements Event {}
