package org.cassiastack.agent;

import java.time.Duration;
import java.time.Instant;
import org.cassiastack.runs.MinionIncarnation;
import org.cassiastack.runs.StartOrder;

/** An ordered start whose run the minion's run lists do not show yet. */
final class PendingStart {
  /**
   * Maximum number of calls for one start. After so many calls without an answer, the start stays
   * unresolved until its deadline has passed.
   */
  private static final int MAX_CALLS = 3;

  /**
   * Timeout of the first call. A minion on the same machine answers within a millisecond, and a
   * repeated start has no second effect. The shortest jobs have 110 ms of slack, so the start is
   * repeated in time for them.
   */
  private static final Duration FIRST_TIMEOUT = Duration.ofMillis(80);

  final StartOrder order;
  final long deadlineMillis;

  /** Whether a start call, or a stop call that revokes the start, is in flight. */
  boolean callInFlight;

  /** Whether a call was not answered, so that the start may still happen until the deadline. */
  boolean outcomeUnknown;

  private int callCount;

  /**
   * Whether the minion has restarted, or another holder has taken it over, since the order. A stop
   * must then prevent the start: the deadline is meaningless on the clock of a new incarnation, and
   * another holder gives the capacity to other runs.
   */
  boolean revoked;

  /** Earliest time of the next stop call for a revoked start. */
  Instant nextStopAt = Instant.MIN;

  /** Number of the first hold call whose run lists show the outcome of the start. */
  long firstConclusiveHold = Long.MAX_VALUE;

  PendingStart(StartOrder order, long deadlineMillis) {
    this.order = order;
    this.deadlineMillis = deadlineMillis;
  }

  /** Returns the next start call. Each call has a longer timeout than the call before it. */
  CallStart nextCall(MinionIncarnation minionIncarnation, long fence) {
    callInFlight = true;
    callCount++;
    Duration timeout = FIRST_TIMEOUT.multipliedBy(callCount);
    return new CallStart(minionIncarnation, order, fence, deadlineMillis, timeout);
  }

  /** Returns whether to call a stop of a revoked start, for the first time or again. */
  boolean isStopDue(Instant now) {
    return revoked && !callInFlight && !now.isBefore(nextStopAt);
  }

  /** Returns whether to repeat a start call that was not answered. */
  boolean canRetry() {
    return !revoked && !callInFlight && outcomeUnknown && callCount < MAX_CALLS;
  }

  /**
   * Returns whether run lists without the run prove that the run does not exist and never will.
   *
   * @param hold number of the hold call that returned the lists
   * @param clockMillis reading of the minion's clock in the answer to that call
   */
  boolean isProvenAbsentBy(long hold, long clockMillis) {
    boolean conclusive = !callInFlight && !revoked && hold >= firstConclusiveHold;
    return conclusive && (!outcomeUnknown || clockMillis > deadlineMillis);
  }
}
