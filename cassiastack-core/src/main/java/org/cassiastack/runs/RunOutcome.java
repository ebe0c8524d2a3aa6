package org.cassiastack.runs;

/**
 * How a run ended.
 *
 * @since 0.2
 */
public enum RunOutcome {
  /** It did its work. */
  DONE,
  /** It failed, by its own fault or the minion's. */
  FAILED,
  /** It was stopped on an order. */
  STOPPED,
  /** Its lease ran out. */
  LAPSED,
  /** It ended for another reason that is not its fault. */
  BROKEN
}
