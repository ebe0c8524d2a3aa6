package org.cassiastack.controller;

import java.time.Duration;

/**
 * Event: the present time has advanced further than the monotonic clock, because the machine was
 * suspended or because the wall clock was set forward; these cannot be told apart.
 *
 * <p>The leap counts where a controller holds a permission itself, which may have run out. It must
 * not count where a controller waits until the permission of another process has certainly run out:
 * there the controller moves its deadlines by the leap. The event comes before the first event that
 * is handled at a time after the leap.
 *
 * @param by how far the time has leaped
 * @since 0.3
 */
public record ClockLeaped(Duration by) implements Event {}
