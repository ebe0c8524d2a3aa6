package org.cassiastack.controller;

import java.time.Instant;
import java.util.List;

/**
 * A state machine that owns one concern.
 *
 * <ol>
 *   <li>A controller belongs to one {@link ControllerLoop}, whose thread alone calls it, so its
 *       state needs no locks.
 *   <li>It decides from its state, the event and the present time alone: no clock, no randomness
 *       that was not given to it, no input or output.
 *   <li>What it wants done it returns as effects, in order:
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
   * Decides on one event. Events of no interest give no effects.
   *
   * @param event what happened
   * @param now the present time
   * @return what has to be done, in order
   */
  List<Effect> on(Event event, Instant now);
}
