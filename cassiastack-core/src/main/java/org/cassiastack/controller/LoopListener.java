package org.cassiastack.controller;

/**
 * Is told of each event that a loop has handled, on the thread of the loop.
 *
 * @since 0.2
 */
@FunctionalInterface
public interface LoopListener {
  /** Watches nothing. */
  LoopListener NONE = turn -> {};

  /** Takes note of a handled event. */
  void onHandled(LoopTurn turn);
}
