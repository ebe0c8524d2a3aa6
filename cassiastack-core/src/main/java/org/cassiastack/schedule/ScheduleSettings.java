package org.cassiastack.schedule;

import java.time.Duration;
import org.cassiastack.runs.MinionClockDrift;

/**
 * Settings of the leader's scheduling.
 *
 * @param lease how long an agent may keep runs going without an answer from the leader
 * @param leaseExpiryMargin how long a run may outlast its lease, in addition to the drift of the
 *     minion's clock: covers other differences of clock rates and the time that a minion takes to
 *     end its runs
 * @param retention how long the phase of an ended job can be queried
 * @param remoteFactor factor by which a task runs longer on a rack that does not hold its data
 * @param fallback whether entries dispatch jobs that need not be stored while no leader is heard
 * @since 0.2
 */
public record ScheduleSettings(
    Duration lease,
    Duration leaseExpiryMargin,
    Duration retention,
    double remoteFactor,
    boolean fallback) {
  /** The remote factor where none is given. */
  public static final double DEFAULT_REMOTE_FACTOR = 1.5;

  /** Creates settings without fallback dispatchers. */
  public ScheduleSettings(
      Duration lease, Duration leaseExpiryMargin, Duration retention, double remoteFactor) {
    this(lease, leaseExpiryMargin, retention, remoteFactor, false);
  }

  /** Returns settings with the default remote factor. */
  public static ScheduleSettings of(
      Duration lease, Duration leaseExpiryMargin, Duration retention) {
    return new ScheduleSettings(lease, leaseExpiryMargin, retention, DEFAULT_REMOTE_FACTOR);
  }

  /** Returns a copy with fallback dispatchers on or off. */
  public ScheduleSettings withFallback(boolean on) {
    return new ScheduleSettings(lease, leaseExpiryMargin, retention, remoteFactor, on);
  }

  /**
   * Returns the time after an agent's last report by which its lease has expired and its runs have
   * ended: the lease, the drift of the minion's clock, and the margin.
   */
  public Duration leaseExpiryTimeout() {
    Duration drift =
        lease
            .multipliedBy(MinionClockDrift.MAX_LAG_PERCENT)
            .dividedBy(MinionClockDrift.ONE_HUNDRED_PERCENT);
    return lease.plus(drift).plus(leaseExpiryMargin);
  }
}
