package org.cassiastack.job;

import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;

/**
 * Another number of coordinators share the minions.
 *
 * @param count number of coordinators, this one included, at least 1
 * @since 0.1
 */
public record CoordinatorsChanged(int count) implements Event, Effect {}
