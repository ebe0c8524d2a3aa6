package org.cassiastack.schedule;

import org.cassiastack.controller.Effect;

/**
 * How much the leader looked at since the last tick to place tasks; its processor time goes there.
 *
 * @param steps steps with waiting tasks that were looked at
 * @param candidates workers that were looked at for one of these
 * @since 0.2
 */
public record PlacingWork(long steps, long candidates) implements Effect {}
