package org.cassiastack.job;

import org.cassiastack.controller.Event;

/**
 * A caller no longer waits for an answer. Its job continues.
 *
 * @param caller the caller that stopped waiting
 * @since 0.1
 */
public record CallerGone(CallerRequestId caller) implements Event {}
