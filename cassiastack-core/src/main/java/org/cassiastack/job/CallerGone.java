package org.cassiastack.job;

import org.cassiastack.controller.Event;

/**
 * A caller no longer waits; its job goes on.
 *
 * @param caller who no longer waits
 * @since 0.1
 */
public record CallerGone(CallerId caller) implements Event {}
