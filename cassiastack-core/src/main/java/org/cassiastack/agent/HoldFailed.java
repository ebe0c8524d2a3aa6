package org.cassiastack.agent;

import org.cassiastack.controller.Event;

/**
 * Event: a {@link CallHold} was refused, was not answered, or was answered by another incarnation
 * of the minion.
 *
 * @param number number of the hold call
 * @param refusedFence fence of the call if the minion has refused it because it has seen a higher
 *     one, else 0
 * @since 0.2
 */
public record HoldFailed(long number, long refusedFence) implements Event {
  /** Creates the failure of a call that the minion did not refuse for its fence. */
  public HoldFailed(long number) {
    this(number, 0);
  }

  /** Creates the failure of a call that the minion has refused for its fence. */
  public static HoldFailed fenced(long number, long refusedFence) {
    return new HoldFailed(number, refusedFence);
  }
}
