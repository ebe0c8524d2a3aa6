package org.cassiastack.schedule;

import java.time.Duration;
import org.cassiastack.runs.MinionClockDrift;

/**
 * Settings of the leader's work.
 *
 * @param lease how long an agent may keep its minion at work without hearing from the leader
 * @param leaseExpiryMargin how much longer than a lease a run may last: clock rates, and the time
 *     that a minion takes to end what it runs
 * @param retention how long an ended job can be asked for
 * @since 0.2
 */
public record ScheduleSettings(Duration lease, Duration leaseExpiryMargin, Duration retention) {
  /** Returns the time after the last report of an agent at which its runs have surely ended. */
  public Duration leaseExpiryTimeout() {
    Duration slow =
        lease
            .multipliedBy(MinionClockDrift.MAX_LAG_PERCENT)
            .dividedBy(MinionClockDrift.ONE_HUNDRED_PERCENT);
    return lease.plus(slow).plus(leaseExpiryMargin);
  }
}
