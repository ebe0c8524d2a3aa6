package org.cassiastack.guard;

import org.cassiastack.controller.Effect;

/**
 * Effect: reports that a guard that accepts no new tasks has no queued or running task left.
 *
 * @since 0.1
 */
public record GuardDrained() implements Effect {}
