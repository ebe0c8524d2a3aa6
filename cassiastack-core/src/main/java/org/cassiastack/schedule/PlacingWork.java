package org.cassiastack.schedule;

import org.cassiastack.controller.Effect;

/**
 * How much the leader looked at since the last tick to place tasks; its processor time goes there.
 *
 * @param candidates workers that were looked at for a step with waiting tasks
 * @since 0.2
 */
public record PlacingWork(long candidates) implements Effect {}
