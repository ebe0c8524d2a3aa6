package org.cassiastack.job;

import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;

/**
 * The number of coordinators that share the minions has changed.
 *
 * @param count number of coordinators, including the receiver of the event; at least 1
 * @since 0.1
 */
public record CoordinatorsChanged(int count) implements Event, Effect {}
