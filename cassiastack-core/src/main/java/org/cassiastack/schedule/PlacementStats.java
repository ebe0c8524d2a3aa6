package org.cassiastack.schedule;

import org.cassiastack.controller.Effect;

/**
 * How much the leader looked at since the last tick to place tasks; its processor time goes there.
 *
 * @param candidatesExamined workers that were looked at for a step with waiting tasks
 * @since 0.2
 */
public record PlacementStats(long candidatesExamined) implements Effect {}
