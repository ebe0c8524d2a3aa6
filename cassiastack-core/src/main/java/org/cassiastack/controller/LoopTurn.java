package org.cassiastack.controller;

import java.time.Duration;

/**
 * How one event was handled by a {@link ControllerLoop}.
 *
 * @param event the event
 * @param waitTime how long it waited for the thread of the loop; zero for a tick
 * @param handlingTime how long the controllers and the effect handler took
 * @param queuedEvents number of events that were waiting behind it
 * @since 0.2
 */
public record LoopTurn(Event event, Duration waitTime, Duration handlingTime, int queuedEvents) {}
