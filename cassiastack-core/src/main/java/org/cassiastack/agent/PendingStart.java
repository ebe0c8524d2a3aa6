package org.cassiastack.agent;

import java.time.Duration;
import org.cassiastack.runs.MinionIncarnation;
import org.cassiastack.runs.StartOrder;

/** A start that the minion's lists do not show yet. */
final class PendingStart {
  /** Calls for one start: a minion that leaves so many unanswered is left to the deadline. */
  private static final int MOST_CALLS = 3;

  /**
   * How long the first answer may take. A minion on the same machine answers in a millisecond, and
   * a start that is repeated has no second effect; the shortest jobs have 110 ms to spare.
   */
  private static final Duration FIRST_PATIENCE = Duration.ofMillis(80);

  final StartOrder order;
  final long deadlineMillis;

  /** Whether a call is under way. */
  boolean callInFlight;

  /** Whether a call was not answered, so that it may still be carried out until the deadline. */
  boolean outcomeUnknown;

  private int calls;

  /**
   * Whether the minion has begun a new life since the order, so that a stop has to keep the start
   * from being carried out there: the deadline says nothing on the new clock.
   */
  boolean revoked;

  /** The first hold whose lists show what became of it. */
  long firstConclusiveHold = Long.MAX_VALUE;

  PendingStart(StartOrder order, long deadlineMillis) {
    this.order = order;
    this.deadlineMillis = deadlineMillis;
  }

  /** Returns the next call to make; each has more patience than the one before. */
  CallStart call(MinionIncarnation life, long fence) {
    callInFlight = true;
    calls++;
    Duration patience = FIRST_PATIENCE.multipliedBy(calls);
    return new CallStart(life, order, fence, deadlineMillis, patience);
  }

  /** Tells whether a call that was not answered is worth another one. */
  boolean canRetry() {
    return outcomeUnknown && calls < MOST_CALLS;
  }

  /** Tells whether lists that do not have the run prove that it is not there and never will be. */
  boolean isProvenAbsentBy(long hold, long clockMillis) {
    boolean shown = !callInFlight && !revoked && hold >= firstConclusiveHold;
    return shown && (!outcomeUnknown || clockMillis > deadlineMillis);
  }
}
