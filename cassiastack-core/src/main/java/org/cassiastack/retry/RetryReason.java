package org.cassiastack.retry;

import org.cassiastack.model.ResultCode;

/**
 * Reason why a task was sent to an agent again; each reason has its own counter.
 *
 * @since 0.1
 */
public enum RetryReason {
  /** An agent did not answer in time; the same dispatch is sent to the same agent again. */
  UNANSWERED,
  /** An agent had no free capacity for the task or for its record. */
  NO_ROOM,
  /** An agent or its minion was leaving, could not be reached or refused for another reason. */
  UNAVAILABLE,
  /** A task queued at an agent was withdrawn or passed its deadline, and is dispatched again. */
  MOVED;

  /** Returns the reason of the retry that follows an agent's refusal of a task. */
  public static RetryReason of(ResultCode refusal) {
    return switch (refusal) {
      case OVERLOADED, GUARD_FULL -> NO_ROOM;
      case CANCELLED_NOT_RUN, DEADLINE_NOT_RUN -> MOVED;
      default -> UNAVAILABLE;
    };
  }
}
