package org.cassiastack.runs;

/**
 * How a run ended.
 *
 * @since 0.2
 */
public enum RunOutcome {
  /** The run completed its work. */
  DONE,
  /** The run failed, because of the task or because of the minion. */
  FAILED,
  /** The run was stopped by an order. */
  STOPPED,
  /** The run was ended because its lease expired. */
  LAPSED,
  /** The run ended for another reason that was not caused by the task. */
  BROKEN
}
