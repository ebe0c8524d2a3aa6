package org.cassiastack.runs;

/**
 * Bound on the drift of minions' clocks. The platform allows a minion's clock to run up to 2 %
 * slow.
 *
 * @since 0.2
 */
public final class MinionClockDrift {
  /** Percentage of true time by which the slowest allowed clock falls behind. */
  public static final long MAX_LAG_PERCENT = 2;

  /** All of true time, as a percentage; the divisor for {@link #MAX_LAG_PERCENT}. */
  public static final long ONE_HUNDRED_PERCENT = 100;

  private MinionClockDrift() {}
}
