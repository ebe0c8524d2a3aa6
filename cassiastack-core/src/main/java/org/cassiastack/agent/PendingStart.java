package org.cassiastack.agent;

import org.cassiastack.runs.StartOrder;

/** A start that the minion's lists do not show yet. */
final class PendingStart {
  final StartOrder order;
  final long deadlineMillis;

  /** Whether a call is under way. */
  boolean calling = true;

  /** Whether a call was not answered, so that it may still be carried out until the deadline. */
  boolean doubtful;

  int calls = 1;

  /**
   * Whether the minion has begun a new life since the order, so that a stop has to keep the start
   * from being carried out there: the deadline says nothing on the new clock.
   */
  boolean revoked;

  /** The first hold whose lists show what became of it. */
  long shownByHold = Long.MAX_VALUE;

  PendingStart(StartOrder order, long deadlineMillis) {
    this.order = order;
    this.deadlineMillis = deadlineMillis;
  }

  /** Tells whether lists that do not have the run prove that it is not there and never will be. */
  boolean isDisprovedBy(long hold, long clockMillis) {
    boolean shown = !calling && !revoked && hold >= shownByHold;
    return shown && (!doubtful || clockMillis > deadlineMillis);
  }
}
