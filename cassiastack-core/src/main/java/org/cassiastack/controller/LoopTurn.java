package org.cassiastack.controller;

import java.time.Duration;

/**
 * How one event was handled by a {@link ControllerLoop}.
 *
 * @param event the event
 * @param waited how long it waited for the thread of the loop; zero for a tick
 * @param taken how long the controllers and the effect handler took
 * @param behind number of events that were waiting behind it
 * @since 0.2
 */
public record LoopTurn(Event event, Duration waited, Duration taken, int behind) {}
