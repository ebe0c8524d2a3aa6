package org.cassiastack.retry;

import org.cassiastack.model.ResultCode;

/**
 * Why work was sent once more; each reason has a counter.
 *
 * @since 0.1
 */
public enum RetryReason {
  /** An agent did not answer in time; the same dispatch goes to the same agent. */
  UNANSWERED,
  /** An agent had no room for the task. */
  NO_ROOM,
  /** An agent or its minion was leaving or could not be reached. */
  UNAVAILABLE,
  /** A queued task was withdrawn and moves to another agent. */
  MOVED;

  /** Returns the reason that follows from an agent's refusal of a task. */
  public static RetryReason of(ResultCode refusal) {
    return switch (refusal) {
      case OVERLOADED, GUARD_FULL -> NO_ROOM;
      case CANCELLED_NOT_RUN, DEADLINE_NOT_RUN -> MOVED;
      default -> UNAVAILABLE;
    };
  }
}
