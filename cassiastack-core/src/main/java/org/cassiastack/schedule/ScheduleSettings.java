package org.cassiastack.schedule;

import java.time.Duration;
import org.cassiastack.runs.MinionClockDrift;
import org.jspecify.annotations.Nullable;

/**
 * Settings of the leader's scheduling.
 *
 * @param lease how long an agent may keep runs going without an answer from the leader
 * @param leaseExpiryMargin how long a run may outlast its lease, in addition to the drift of the
 *     minion's clock: covers other differences of clock rates and the time that a minion takes to
 *     end its runs
 * @param retention how long the phase of an ended job can be queried
 * @param remoteFactor factor by which a task runs longer on a rack that does not hold its data
 * @param callerLease how long jobs that need not be stored outlast their callers, where entries
 *     dispatch such jobs while no leader is heard; null where they do not
 * @since 0.2
 */
public record ScheduleSettings(
    Duration lease,
    Duration leaseExpiryMargin,
    Duration retention,
    double remoteFactor,
    @Nullable CallerLease callerLease) {
  /** The remote factor where none is given. */
  public static final double DEFAULT_REMOTE_FACTOR = 1.5;

  /** Creates settings without fallback dispatchers. */
  public ScheduleSettings(
      Duration lease, Duration leaseExpiryMargin, Duration retention, double remoteFactor) {
    this(lease, leaseExpiryMargin, retention, remoteFactor, null);
  }

  /** Returns settings with the default remote factor. */
  public static ScheduleSettings of(
      Duration lease, Duration leaseExpiryMargin, Duration retention) {
    return new ScheduleSettings(lease, leaseExpiryMargin, retention, DEFAULT_REMOTE_FACTOR);
  }

  /**
   * Returns a copy with fallback dispatchers, or without if the resend delay is too short for them.
   *
   * @param resendDelay time after the loss of its connection at which a caller sends a job again
   */
  public ScheduleSettings withFallback(Duration resendDelay) {
    CallerLease callerLease =
        resendDelay.compareTo(leaseExpiryTimeout()) > 0
            ? CallerLease.of(resendDelay, lease, leaseExpiryMargin)
            : null;
    return new ScheduleSettings(lease, leaseExpiryMargin, retention, remoteFactor, callerLease);
  }

  /** Returns whether entries dispatch jobs that need not be stored while no leader is heard. */
  public boolean fallback() {
    return callerLease != null;
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
