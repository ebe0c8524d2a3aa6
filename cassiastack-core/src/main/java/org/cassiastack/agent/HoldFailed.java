package org.cassiastack.agent;

import org.cassiastack.controller.Event;

/**
 * Event: a {@link CallHold} was not answered, or was answered by another incarnation of the minion.
 *
 * @param number number of the hold call
 * @since 0.2
 */
public record HoldFailed(long number) implements Event {}
