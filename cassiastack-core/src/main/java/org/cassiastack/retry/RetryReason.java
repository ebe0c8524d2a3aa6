package org.cassiastack.retry;

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
  MOVED
}
