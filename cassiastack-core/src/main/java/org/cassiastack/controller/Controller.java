package org.cassiastack.controller;

import java.time.Instant;
import java.util.List;

/**
 * A state machine that is responsible for one concern.
 *
 * <ol>
 *   <li>A controller belongs to one {@link ControllerLoop}. Only the thread of that loop calls the
 *       controller, so its state needs no locks.
 *   <li>Its decisions depend only on its state, the event and the time that is passed in. It reads
 *       no clock, uses no source of randomness that was not given to it, and does no I/O.
 *   <li>What has to be decided only once for several events is decided at the end of the turn.
 *   <li>It returns the actions to carry out as effects, in order:
 * </ol>
 *
 * <pre>{@code
 * Controller echo = (event, now) -> List.of(new Raise(event));
 * }</pre>
 *
 * @since 0.1
 */
@FunctionalInterface
public interface Controller {
  /**
   * Handles one event. Returns an empty list for events that the controller does not react to.
   *
   * @param event what happened
   * @param now the current time
   * @return the effects to carry out, in order
   */
  List<Effect> on(Event event, Instant now);

  /**
   * Ends a turn of the loop: called after the events that waited, and the events raised by them,
   * have been handled, and again after events that are raised by it. A controller returns here the
   * effects that need to be decided only once for all these events.
   *
   * @param now the current time, not earlier than that of the events
   * @return the effects to carry out, in order
   */
  default List<Effect> endTurn(Instant now) {
    return List.of();
  }

  /**
   * Returns when this controller next needs a {@link Tick} if no event arrives before; {@link
   * Instant#MAX} for never. By default a controller needs one in each tick interval.
   *
   * @param now the current time
   */
  default Instant nextTickAt(Instant now) {
    return now;
  }
}
