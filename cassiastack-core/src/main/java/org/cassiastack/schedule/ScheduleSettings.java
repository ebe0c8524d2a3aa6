package org.cassiastack.schedule;

import java.time.Duration;
import org.cassiastack.runs.MinionClockRate;

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
  /** Returns the time after the last report of an agent at which its runs have surely ended. */
  public Duration lapse() {
    Duration slow =
        lease.multipliedBy(MinionClockRate.SLOW_PERCENT).dividedBy(MinionClockRate.WHOLE_PERCENT);
    return lease.plus(slow).plus(lapseSlack);
  }
}
