package org.cassiastack.controller;

/**
 * Is notified of each turn of a loop, on the thread of the loop. A turn handles the posted events
 * that wait, or a tick, and the events that are raised meanwhile.
 *
 * @since 0.2
 */
@FunctionalInterface
public interface LoopListener {
  /** A listener that does nothing. */
  LoopListener NONE = turn -> {};

  /** Called after a turn. */
  void onHandled(LoopTurn turn);
}
