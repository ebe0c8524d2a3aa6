package org.cassiastack.controller;

/**
 * Is notified of each event that a loop has handled, on the thread of the loop.
 *
 * @since 0.2
 */
@FunctionalInterface
public interface LoopListener {
  /** A listener that does nothing. */
  LoopListener NONE = turn -> {};

  /** Called after an event has been handled. */
  void onHandled(LoopTurn turn);
}
