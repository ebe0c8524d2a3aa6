package org.cassiastack.schedule;

import java.time.Duration;
import java.time.Instant;
import org.cassiastack.runs.MinionClockDrift;
import org.jspecify.annotations.Nullable;

/**
 * How long a dispatcher keeps a job that need not be stored without a new confirmation that its
 * caller waits, so that all its runs have ended before the caller may send the job to another
 * dispatcher.
 *
 * <p>All times count from the sending of the last probe that the caller's entry has answered for
 * the job. A caller that is lost afterwards sends the job again after the resend delay, so these
 * parts must fit into the delay:
 *
 * <ol>
 *   <li>{@link #CALLER_LOSS_NOTICE}: until the entry has noticed the loss;
 *   <li>{@link #keptFor}: until the dispatcher gives the job up and orders its runs to be stopped;
 *   <li>{@link #MIN_AGENT_LEASE} with the drift of the minion's clock: the last lease that an agent
 *       with such a run gets, in case that the order does not arrive;
 *   <li>the lease expiry margin: until a run under an expired lease has ended.
 * </ol>
 *
 * @param resendDelay time after the loss of its connection at which a caller sends a job again
 * @param agentBudget time within which the lease of an agent with a run of the job has to expire
 * @param keptFor time after which the job is given up
 * @param startableFor time within which a task may start
 * @param maxAgentLease maximum lease of an agent: one that is granted when a task starts ends
 *     within the budget of its job
 * @since 0.5
 */
public record CallerLease(
    Duration resendDelay,
    Duration agentBudget,
    Duration keptFor,
    Duration startableFor,
    Duration maxAgentLease) {
  /** Interval of the probes to an entry. */
  public static final Duration PROBE_INTERVAL = Duration.ofMillis(150);

  /** Time within which an entry notices the loss of a caller and confirms its job no more. */
  private static final Duration CALLER_LOSS_NOTICE = Duration.ofMillis(30);

  /**
   * Time that a request may take from its caller to a dispatcher, by which the caller's time-out
   * comes before the one that the dispatcher knows. A lost packet is sent again after 0.2 s, and
   * for the second time 0.4 s later.
   */
  private static final Duration MAX_REQUEST_DELAY = Duration.ofMillis(600);

  /**
   * Age of the last confirmation up to which a task may start: two probe intervals, so that the
   * answer to one probe may take as long as an interval.
   */
  private static final Duration STARTABLE = PROBE_INTERVAL.multipliedBy(2);

  /** Shortest useful lease: an agent reports every 200 ms, and a report may be lost. */
  private static final Duration MIN_AGENT_LEASE = Duration.ofMillis(400);

  /** A job has to outlast the loss of two probes. */
  private static final Duration MIN_KEPT = PROBE_INTERVAL.multipliedBy(3);

  /**
   * Divides a resend delay.
   *
   * @param resendDelay time after the loss of its connection at which a caller sends a job again
   * @param lease lease of agents where no shorter one is needed
   * @param leaseExpiryMargin how long a run may outlast its lease, apart from the drift of the
   *     minion's clock
   * @return the parts, or null if the delay is too short for them
   */
  public static @Nullable CallerLease of(
      Duration resendDelay, Duration lease, Duration leaseExpiryMargin) {
    Duration budget = resendDelay.minus(CALLER_LOSS_NOTICE).minus(leaseExpiryMargin);
    Duration kept = budget.minus(withDrift(MIN_AGENT_LEASE));
    Duration longest = shorter(lease, withoutDrift(budget.minus(STARTABLE)));
    boolean fits = kept.compareTo(MIN_KEPT) >= 0 && longest.compareTo(MIN_AGENT_LEASE) >= 0;
    return fits ? new CallerLease(resendDelay, budget, kept, STARTABLE, longest) : null;
  }

  /** Returns whether a task of a job may start. */
  public boolean mayStart(Instant confirmedAt, Instant now) {
    return !now.isAfter(confirmedAt.plus(startableFor));
  }

  /**
   * Returns the confirmation that the leases of agents with runs of a job may rest on: the caller
   * may give up up to {@link #MAX_REQUEST_DELAY} before the time-out that the dispatcher knows,
   * without a sign to the entry. The bound is no longer than {@link #keptFor}, so that a lease that
   * is granted before the time-out is not shorter than the minimum.
   *
   * @param confirmedAt when the last probe was sent that was answered for the job
   * @param callerTimeoutAt when the caller stops waiting, as far as the dispatcher knows
   */
  public Instant leaseBasis(Instant confirmedAt, Instant callerTimeoutAt) {
    Instant latest = callerTimeoutAt.minus(shorter(MAX_REQUEST_DELAY, keptFor));
    return confirmedAt.isBefore(latest) ? confirmedAt : latest;
  }

  /**
   * Returns the lease for an agent that may have a run of a job; zero if its lease must not be
   * extended any more.
   *
   * @param basis confirmation of the job that the lease rests on
   */
  public Duration agentLease(Instant basis, Instant now) {
    Instant end = basis.plus(agentBudget);
    return now.isBefore(end)
        ? shorter(maxAgentLease, withoutDrift(Duration.between(now, end)))
        : Duration.ZERO;
  }

  private static Duration shorter(Duration one, Duration other) {
    return one.compareTo(other) < 0 ? one : other;
  }

  /** Returns the time that passes while the slowest clock of a minion shows a duration. */
  private static Duration withDrift(Duration duration) {
    return duration
        .multipliedBy(MinionClockDrift.ONE_HUNDRED_PERCENT)
        .dividedBy(MinionClockDrift.ONE_HUNDRED_PERCENT - MinionClockDrift.MAX_LAG_PERCENT);
  }

  /** Returns the duration that the slowest clock of a minion shows after some time. */
  private static Duration withoutDrift(Duration time) {
    return time.multipliedBy(
            MinionClockDrift.ONE_HUNDRED_PERCENT - MinionClockDrift.MAX_LAG_PERCENT)
        .dividedBy(MinionClockDrift.ONE_HUNDRED_PERCENT);
  }
}
