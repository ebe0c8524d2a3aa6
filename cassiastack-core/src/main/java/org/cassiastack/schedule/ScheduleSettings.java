package org.cassiastack.schedule;

import java.time.Duration;

/**
 * Settings of the leader's work.
 *
 * @param lease how long an agent may keep its minion at work without hearing from the leader
 * @param lapseSlack how much longer than a lease a run may last: clock rates, and the time that a
 *     minion takes to end what it runs
 * @param retention how long an ended job can be asked for
 * @since 0.2
 */
public record ScheduleSettings(Duration lease, Duration lapseSlack, Duration retention) {
  /** Clocks of minions may be this much slow, in hundredths. */
  private static final int CLOCK_RATE_PERCENT = 2;

  private static final int PERCENT = 100;

  /** Returns the time after the last report of an agent at which its runs have surely ended. */
  public Duration lapse() {
    return lease.plus(lease.multipliedBy(CLOCK_RATE_PERCENT).dividedBy(PERCENT)).plus(lapseSlack);
  }
}
