package org.cassiastack.membership;

import org.cassiastack.controller.Event;

/**
 * The process was requested to stop: it takes no new work and finishes the work that it has.
 *
 * @since 0.1
 */
public record LeaveRequested() implements Event {}
