package org.cassiastack.runs;

/**
 * How far the clocks of minions may be off: the platform allows them to be slow by a fiftieth.
 *
 * @since 0.2
 */
public final class MinionClockDrift {
  /** Part of true time, in hundredths, by which the slowest clock falls behind. */
  public static final long MAX_LAG_PERCENT = 2;

  /** All of true time, in the same unit. */
  public static final long ONE_HUNDRED_PERCENT = 100;

  private MinionClockDrift() {}
}
