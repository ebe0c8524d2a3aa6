package org.cassiastack.schedule;

import org.cassiastack.controller.Effect;

/**
 * Effect that reports how many candidate workers the leader has examined for placement since the
 * last effect of this type. Placement accounts for most of the leader's processor time.
 *
 * @param candidatesExamined number of workers examined for steps with waiting tasks; a worker
 *     counts once each time it is examined
 * @since 0.2
 */
public record PlacementStats(long candidatesExamined) implements Effect {}
