package org.cassiastack.controller;

import java.time.Duration;

/**
 * Timing of one event that a {@link ControllerLoop} has handled, together with the events that were
 * raised while handling it.
 *
 * @param event the event that was posted, or the tick
 * @param waitTime how long the event was queued before its handling began; zero for a tick
 * @param handlingTime total time that the controllers and the effect handler took
 * @param queuedEvents number of events that were queued when the handling ended
 * @since 0.2
 */
public record LoopTurn(Event event, Duration waitTime, Duration handlingTime, int queuedEvents) {}
