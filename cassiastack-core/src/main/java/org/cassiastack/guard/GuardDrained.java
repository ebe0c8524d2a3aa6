package org.cassiastack.guard;

import org.cassiastack.controller.Effect;

/**
 * The effect of telling that a guard which takes no new tasks has none left.
 *
 * @since 0.1
 */
public record GuardDrained() implements Effect {}
