package org.cassiastack.controller;

import java.time.Duration;
import java.util.List;

/**
 * Timing of one turn of a {@link ControllerLoop}: of the events that it has handled, together with
 * the events that were raised while handling them.
 *
 * @param events the events that were posted, or the tick; at least one
 * @param waitTime how long the first event was queued before its handling began; zero for a tick
 * @param handlingTime total time that the controllers and the effect handler took
 * @param queuedEvents number of events that were queued when the handling ended
 * @since 0.2
 */
public record LoopTurn(
    List<Event> events, Duration waitTime, Duration handlingTime, int queuedEvents) {
  /** Creates a timing; the list is copied. */
  public LoopTurn {
    events = List.copyOf(events);
  }
}
