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

  private long holderFence;
  private long value;
  private long step = MIN_STEP;

  long value() {
    return value;
  }

  /** Makes the fence higher than that of all earlier calls. */
  void raise(Instant now) {
    long byClock = ChronoUnit.MICROS.between(Instant.EPOCH, now) * UNITS_PER_MICROSECOND;
    value = Math.max(Math.max(value + 1, byClock), holderFence);
  }

  /** Handles the outcome of a start call. */
  void onStartAnswered(StartAnswered.Outcome outcome, Instant now) {
    if (outcome == StartAnswered.Outcome.FENCED) {
      raiseBeyondClock(now);
    } else if (outcome == StartAnswered.Outcome.STARTED) {
      step = MIN_STEP;
    }
  }

  /**
   * Raises the fence after a hold call has failed: another incarnation of the minion may answer the
   * next one, and must not carry out any earlier call then.
   */
  void onHoldFailed(boolean fenced, Instant now) {
    if (fenced) {
      raiseBeyondClock(now);
    } else {
      raise(now);
    }
  }

  /**
   * Raises the fence after the minion has refused it: the clock of an earlier incarnation of the
   * agent may have been ahead.
   */
  private void raiseBeyondClock(Instant now) {
    raise(now);
    value += step;
    step = Math.min(2 * step, MAX_STEP);
  }

  /** Raises the fence for another holder, whose calls must not be overtaken by earlier ones. */
  void onHolder(long fence, Instant now) {
    holderFence = fence;
    raise(now);
  }
}
