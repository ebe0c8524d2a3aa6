package org.cassiastack.runs;

/**
 * How a run ended.
 *
 * @since 0.2
 */
public enum RunOutcome {
  /** The run completed its work. */
  DONE,
  /**
   * The minion reported that the run failed, because of the task or because of the minion. Only
   * this outcome counts as a failed attempt of the task.
   */
  FAILED,
  /** The run was ended by a stop call from the agent to the minion. */
  STOPPED,
  /** The run was ended because its lease expired. */
  LAPSED,
  /**
   * The minion reported an outcome other than those above. The run does not count as a failed
   * attempt of the task.
   */
  BROKEN
}
