package org.cassiastack.agent;

import java.time.Instant;
import java.time.temporal.ChronoUnit;

/**
 * The fence of an agent's calls to its minion. A minion does nothing for a call with a lower fence
 * than it has seen, so once it has answered a call, no call of this agent from before the last
 * raise has an effect.
 *
 * <p>The fence is at least that of the holder whom the agent obeys. It follows the clock, so that
 * it also rises from one incarnation of the agent to the next, unless the clock is set back.
 */
final class CallFence {
  /** Fences of holders are at most twice the microseconds since 1970 of the election. */
  private static final long UNITS_PER_MICROSECOND = 2;

  /**
   * Initial and longest step by which the fence is raised beyond the clock, in units: half a second
   * and some 25 days. The step doubles with each refusal in a row.
   */
  private static final long MIN_STEP = 1L << 20;

  private static final long MAX_STEP = 1L << 42;

  /**
   * Longest lead over the clock that refusals can give, in units: some 71 years. A minion that
   * refuses every call would otherwise make the fence overflow. Until 2041 such a fence stays below
   * 2^53, the limit up to which JSON readers that use floating-point numbers tell it from the next
   * one; the users' protocol names no limit.
   */
  private static final long MAX_LEAD = 1L << 52;

  private long holderFence;
  private long value;

  /** Fence of the last call, the highest one that the minion can have seen from this agent. */
  private long lastCall;

  private long step = MIN_STEP;

  /** Returns the fence for a call that is made now. */
  long forCall() {
    lastCall = value;
    return value;
  }

  /** Makes the fence higher than that of all earlier calls. */
  void raise(Instant now) {
    value = Math.max(Math.max(value + 1, byClock(now)), holderFence);
  }

  private static long byClock(Instant now) {
    return ChronoUnit.MICROS.between(Instant.EPOCH, now) * UNITS_PER_MICROSECOND;
  }

  /** Handles a call that the minion has carried out. */
  void onAccepted() {
    step = MIN_STEP;
  }

  /**
   * Raises the fence after the minion has refused a call because it has seen a higher one. Returns
   * whether that was not the fence of a later call of this agent, so that the minion has carried
   * out a call of an earlier incarnation of the agent, whose clock was ahead.
   */
  boolean raiseAfterRefusal(long refusedFence, Instant now) {
    // The refusals of several calls with one fence raise it once.
    if (refusedFence == value) {
      raiseBeyondClock(now);
    }
    return refusedFence >= lastCall;
  }

  private void raiseBeyondClock(Instant now) {
    raise(now);
    value = Math.max(value, Math.min(value + step, byClock(now) + MAX_LEAD));
    step = Math.min(2 * step, MAX_STEP);
  }

  /** Raises the fence for another holder, whose calls must not be overtaken by earlier ones. */
  void onHolder(long fence, Instant now) {
    holderFence = fence;
    raise(now);
  }
}
