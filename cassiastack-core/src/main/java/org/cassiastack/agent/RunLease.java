package org.cassiastack.agent;

import java.time.Duration;
import java.time.Instant;

/**
 * The lease of the runs at a minion, by its clock, and how long the runs may outlast it: the minion
 * has one deadline for all of its runs, and no call shortens it.
 */
final class RunLease {
  private final AgentSettings settings;
  private final MinionClock clock = new MinionClock();

  /** When all runs of the minion have certainly ended, unless their deadline is extended. */
  private Instant runsExpireAt = Instant.MIN;

  /**
   * Until when runs may be kept alive by a call that was made for a former incarnation of the
   * minion, or by a former incarnation of the agent.
   */
  private Instant inheritedUntil = Instant.MIN;

  /** Whether such calls may have an effect until the minion answers the next hold call. */
  private boolean mayInherit;

  RunLease(AgentSettings settings) {
    this.settings = settings;
  }

  /** Begins an incarnation of the minion, whose clock is not known yet. */
  void beginIncarnation(Instant now) {
    clock.reset();
    inheritedUntil = Instant.MIN;
    mayInherit = true;
    runsExpireAt = longestLeaseFrom(now);
  }

  /**
   * Records that the minion has carried out a call of a former incarnation of the agent, and may
   * carry out further ones until it answers a call with a higher fence.
   */
  void onFormerCallSeen(Instant now) {
    mayInherit = true;
    countOnRunsUntil(longestLeaseFrom(now));
  }

  /** Handles the answer to a hold call, with a reading of the minion's clock. */
  void onAnswered(long clockMillis, Instant now) {
    clock.addSample(clockMillis, now);
    if (mayInherit) {
      mayInherit = false;
      inheritedUntil = now.plus(settings.maxLease());
      countOnRunsUntil(clockMillis + settings.maxLease().toMillis());
    }
  }

  /** Records that the agent's clock, but not the minion's, has leaped. */
  void onClockLeaped(Duration leap) {
    clock.onLocalClockLeaped(leap);
    runsExpireAt = runsExpireAt.equals(Instant.MIN) ? Instant.MIN : runsExpireAt.plus(leap);
    inheritedUntil = inheritedUntil.equals(Instant.MIN) ? Instant.MIN : inheritedUntil.plus(leap);
  }

  boolean isClockKnown() {
    return clock.isKnown();
  }

  /** Returns when all runs have certainly ended, unless their deadline is extended. */
  Instant runsExpireAt() {
    return runsExpireAt;
  }

  /**
   * Returns whether runs may start under a lease: none may while an inherited deadline could keep
   * them alive for longer.
   */
  boolean coversInherited(Instant leaseUntil) {
    return !leaseUntil.isBefore(inheritedUntil);
  }

  /**
   * Returns the end of a lease on the minion's clock, at most the maximum lease from now, and
   * records when the runs under this lease have certainly ended. Needs a reading of the clock.
   */
  long deadlineMillis(Instant leaseUntil, Instant now) {
    Duration remaining = Duration.between(now, leaseUntil);
    Duration duration =
        remaining.compareTo(settings.maxLease()) < 0 ? remaining : settings.maxLease();
    long deadline = clock.lowerBoundMillis(now) + duration.toMillis();
    countOnRunsUntil(deadline);
    return deadline;
  }

  private void countOnRunsUntil(long deadlineMillis) {
    countOnRunsUntil(
        clock.certainlyPassedAt(deadlineMillis).plus(settings.stopGrace().multipliedBy(2)));
  }

  private void countOnRunsUntil(Instant certainlyEndedAt) {
    runsExpireAt = certainlyEndedAt.isAfter(runsExpireAt) ? certainlyEndedAt : runsExpireAt;
  }

  /** Returns when runs have certainly ended that get the longest lease now. */
  private Instant longestLeaseFrom(Instant now) {
    return now.plus(MinionClock.longestTimeOf(settings.maxLease()))
        .plus(settings.stopGrace().multipliedBy(2));
  }
}
