package org.cassiastack.agent;

import org.cassiastack.controller.Event;

/**
 * Event: a {@link CallHold} was refused, was not answered, or was answered by another incarnation
 * of the minion.
 *
 * @param number number of the hold call
 * @param fenced whether the minion refused the call because it has seen a higher fence
 * @since 0.2
 */
public record HoldFailed(long number, boolean fenced) implements Event {
  /** Creates the failure of a call that the minion did not refuse for its fence. */
  public HoldFailed(long number) {
    this(number, false);
  }
}
