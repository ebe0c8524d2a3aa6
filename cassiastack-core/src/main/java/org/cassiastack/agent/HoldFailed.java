package org.cassiastack.agent;

import org.cassiastack.controller.Event;

/**
 * A {@link CallHold} was not answered, or by another life of the minion.
 *
 * @param number number of the call
 * @since 0.2
 */
public record HoldFailed(long number) implements Event {}
