package org.cassiastack.agent;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.cassiastack.controller.Effect;
import org.cassiastack.model.MinionId;
import org.cassiastack.runs.MinionIncarnation;
import org.cassiastack.runs.MinionProfile;
import org.cassiastack.runs.RunId;
import org.cassiastack.runs.StartOrder;
import org.jspecify.annotations.Nullable;

/** State that an agent holds about its minion, and the calls from the agent to the minion. */
final class MinionLink {
  private final RunLease lease;
  private final HoldCalls holds = new HoldCalls();
  private final CallFence fence = new CallFence();
  private final PendingStarts starts = new PendingStarts();
  private final RevokedRuns revoked = new RevokedRuns();
  private final EndAcknowledgements acknowledgements = new EndAcknowledgements();
  private @Nullable MinionProfile profile;

  /**
   * Announcement of another incarnation that is adopted if the current one does not answer the next
   * hold call, or null.
   */
  private @Nullable MinionAnnounced successor;

  /** Whether the current incarnation has ever answered a hold call. */
  private boolean hasAnswered;

  /** Whether the current incarnation follows one with the same identity. */
  private boolean hasFormerIncarnation;

  /**
   * Whether {@link #lists} are those of the current incarnation: it has answered, or was silent for
   * so long that it has no runs.
   */
  private boolean listsKnown;

  private long sequence;
  private RunLists lists = RunLists.EMPTY;

  /** Number of the last hold call before which the fence was raised for unanswered starts. */
  private long raisedByHold;

  private String formerExpectations = "";

  private Instant listedAt = Instant.MIN;

  MinionLink(AgentSettings settings) {
    this.lease = new RunLease(settings);
  }

  @Nullable MinionProfile profile() {
    return profile;
  }

  /** Returns what was open when the current incarnation began, as key=value pairs for the log. */
  String formerExpectations() {
    return formerExpectations;
  }

  boolean isIncarnation(MinionIncarnation minionIncarnation) {
    MinionProfile p = profile;
    return p != null && p.life().equals(minionIncarnation);
  }

  RunLists lists() {
    return lists;
  }

  /** Returns how long ago the minion returned its run lists, or zero before the first lists. */
  Duration listAge(Instant now) {
    return listedAt.equals(Instant.MIN) ? Duration.ZERO : Duration.between(listedAt, now);
  }

  List<RunId> unresolved() {
    return starts.runs();
  }

  /** Returns whether the minion has answered recently enough to get work. */
  boolean isReachable(Instant now) {
    return holds.isReachable(now);
  }

  /**
   * Handles an announcement; returns whether it changes the profile. An announcement of another
   * incarnation may come from another writer. While the current incarnation answers, it is
   * therefore adopted only if the next hold call fails.
   */
  boolean onAnnounced(MinionAnnounced a, Instant now) {
    MinionProfile previous = profile;
    MinionIncarnation current = previous == null ? null : previous.life();
    boolean answers = hasAnswered && !holds.isLongSilent(now);
    if (!AnnouncementCheck.isPlausible(a.profile().life(), current, answers, now)) {
      return false;
    }
    if (current == null || current.equals(a.profile().life()) || !isVerified(now)) {
      return applyAnnouncement(a, now);
    }
    successor = a;
    holds.verifyAgain();
    return false;
  }

  private boolean applyAnnouncement(MinionAnnounced a, Instant now) {
    MinionProfile previous = profile;
    boolean sameIncarnation = previous != null && previous.life().equals(a.profile().life());
    if (sameIncarnation && a.sequence() <= sequence) {
      return false;
    }
    if (!sameIncarnation) {
      beginIncarnation(
          previous != null && previous.life().id().equals(a.profile().life().id()), now);
    }
    sequence = a.sequence();
    profile = a.profile();
    return !a.profile().equals(previous);
  }

  /**
   * Handles the end of the minion and all its runs; returns whether the profile changes. A minion
   * announces that it drains before it leaves. Otherwise the call may be one of a former
   * incarnation that was read late, and the minion is asked for its lists at once: if it has ended,
   * it does not answer.
   */
  boolean onLeft(MinionId id) {
    MinionProfile p = profile;
    if (p == null || !p.life().id().equals(id)) {
      return false;
    }
    if (!p.draining()) {
      holds.verifyAgain();
      return false;
    }
    lists = RunLists.EMPTY;
    listsKnown = true;
    starts.clear();
    revoked.clear();
    profile = new MinionProfile(p.life(), p.service(), p.domain(), p.capacity(), p.labels(), true);
    holds.forgetAnswers();
    return true;
  }

  void onAcknowledged(@Nullable MinionIncarnation minionIncarnation, long newAcknowledgedThrough) {
    if (minionIncarnation != null
        && isIncarnation(minionIncarnation)
        && acknowledgements.onAcknowledged(newAcknowledgedThrough)) {
      holds.makeDue();
    }
  }

  /** Raises the fence of the calls, because the agent obeys another holder. */
  void onHolder(long holderFence, Instant now) {
    fence.onHolder(holderFence, now);
  }

  /**
   * Returns whether runs may start under a lease: none may while a deadline that a former
   * incarnation was given could keep them alive for longer.
   */
  boolean coversInheritedLease(Instant leaseUntil) {
    return lease.coversInherited(leaseUntil);
  }

  /** Adds the call that starts a run; returns false without a call if the run must not start. */
  boolean start(StartOrder order, Instant leaseUntil, Instant now, List<Effect> effects) {
    MinionProfile p = profile;
    Instant until = revoked.capped(leaseUntil);
    boolean mayStart =
        now.isBefore(until) && coversInheritedLease(until) && !revoked.contains(order.run());
    if (p == null || p.draining() || !isVerified(now) || !mayStart) {
      return false;
    }
    long deadlineMillis = lease.deadlineMillis(until, now);
    effects.add(starts.add(p.life(), order, fence.forCall(), deadlineMillis));
    return true;
  }

  void stop(RunId run, List<Effect> effects) {
    MinionProfile p = profile;
    if (p != null) {
      effects.add(new CallStop(p.life(), run, fence.forCall()));
    }
  }

  /**
   * Revokes all runs that may exist. Until the last of them is known to have ended, no deadline of
   * the minion is extended beyond the given lease, under which the runs were started.
   *
   * @return the number of revoked runs
   */
  int revokeRuns(Instant formerLeaseUntil) {
    starts.revokeAll();
    return revoked.add(lists, starts.runs(), formerLeaseUntil);
  }

  /** Handles the outcome of a start call; returns whether the agent should report to the leader. */
  boolean onStartAnswered(StartAnswered a, Instant now) {
    if (a.outcome() == StartAnswered.Outcome.FENCED) {
      onRefused(a.refusedFence(), now);
    } else if (a.outcome() == StartAnswered.Outcome.STARTED) {
      fence.onAccepted();
    }
    return starts.onStartAnswered(a, holds.nextNumber());
  }

  /**
   * Handles a start or stop call that was refused for its fence. Nothing starts until a hold call
   * with a higher fence is answered, after which the calls of a former agent below it do nothing.
   */
  private void onRefused(long refusedFence, Instant now) {
    if (fence.raiseAfterRefusal(refusedFence, now)) {
      lease.onFormerCallSeen(now);
      holds.verifyAgain();
    }
  }

  /** Handles the outcome of a stop call, which may resolve a start that was revoked. */
  void onStopAnswered(StopAnswered a, Instant now) {
    if (a.refusedFence() > 0) {
      onRefused(a.refusedFence(), now);
    }
    starts.onStopAnswered(a, holds.nextNumber(), now);
    revoked.onStopAnswered(a);
  }

  /**
   * Handles the minion's run lists; returns whether the agent should report to the leader.
   *
   * @param leaseUntil end of the lease of the present holder
   */
  boolean onHoldAnswered(HoldAnswered h, Instant leaseUntil, Instant now) {
    if (!holds.isAwaited(h.number())) {
      return false;
    }
    boolean isFirst = !hasAnswered;
    if (isFirst || h.number() == raisedByHold) {
      starts.onFenceSeen();
    }
    hasAnswered = true;
    listsKnown = true;
    successor = null;
    fence.onAccepted();
    lease.onAnswered(h.clockMillis(), now);
    RunLists former = lists;
    lists = RunLists.of(h);
    listedAt = now;
    acknowledgements.onListed();
    boolean changed = !lists.hasSameRuns(former);
    changed |= starts.onLists(lists, h.number(), h.clockMillis());
    revoked.onLists(lists, starts.runs());
    if (isFirst && hasFormerIncarnation) {
      // The former incarnation was told to start them, under leases that no holder renews.
      revoked.add(lists, List.of(), leaseUntil);
    }
    holds.answered(acknowledgements.areAllPassedOnFor(lists), now);
    return changed || isFirst || !lists.allEndsListed();
  }

  /** Handles a hold call without a valid answer; returns whether the profile changes. */
  boolean onHoldFailed(HoldFailed h, Instant now) {
    if (!holds.isAwaited(h.number())) {
      return false;
    }
    holds.failed();
    if (h.refusedFence() == 0) {
      // Another incarnation may answer the next call, and must not carry out any earlier one then.
      fence.raise(now);
    } else if (fence.raiseAfterRefusal(h.refusedFence(), now)) {
      lease.onFormerCallSeen(now);
    }
    MinionAnnounced announced = successor;
    successor = null;
    return announced != null && applyAnnouncement(announced, now);
  }

  /** Records that the agent's clock, but not the minion's, has leaped. */
  void onClockLeaped(Duration leap) {
    lease.onClockLeaped(leap);
  }

  /** Advances time; returns whether runs are now known to have expired. */
  boolean onTick(Instant now) {
    holds.onTick(now);
    boolean isExpired = !isReachable(now) && now.isAfter(lease.runsExpireAt());
    if (profile == null || !mayHaveRuns() || !isExpired) {
      return false;
    }
    boolean hadRuns = !listsKnown || lists.mayHaveRuns();
    int unresolvedBefore = starts.runs().size();
    lists = lists.withoutRuns();
    listsKnown = true;
    starts.onDeadlinesPassed(holds.mayCallsArrive(now));
    revoked.onLists(lists, starts.runs());
    return hadRuns || starts.runs().size() < unresolvedBefore;
  }

  /** Returns when the next call is due, or when the runs of a silent minion have ended. */
  Instant nextTickAt(Instant now) {
    if (profile == null) {
      return Instant.MAX;
    }
    Instant at = holds.nextTickAt(now);
    for (Instant stopAt : List.of(revoked.nextCallAt(), starts.nextStopAt())) {
      at = stopAt.isBefore(at) ? stopAt : at;
    }
    Instant expiry = lease.runsExpireAt();
    expiry = expiry.isBefore(holds.unreachableAt()) ? holds.unreachableAt() : expiry;
    return mayHaveRuns() && expiry.isBefore(at) ? expiry : at;
  }

  /** Returns whether the minion may have runs, as far as its lists and the pending starts tell. */
  private boolean mayHaveRuns() {
    return !listsKnown || lists.mayHaveRuns() || !starts.isEmpty();
  }

  /**
   * Returns whether the lists name every run that may exist, unless calls of an earlier incarnation
   * of the agent are under way. Those of a minion that has not answered yet may lack runs that it
   * was told to start in its former incarnation.
   */
  boolean areListsComplete() {
    return listsKnown && lists.allEndsListed();
  }

  /** Adds the calls that are due. */
  void sendDueCalls(Instant leaseUntil, Instant now, List<Effect> effects) {
    MinionProfile p = profile;
    if (p == null) {
      return;
    }
    Instant until = revoked.capped(leaseUntil);
    if (successor == null) {
      boolean mayStart = isVerified(now) && coversInheritedLease(until);
      starts.sendDueCalls(p.life(), fence, mayStart, until, now, effects);
      revoked.sendDueCalls(p.life(), starts.runs(), fence, now, effects);
    }
    if (!holds.isDue(now)) {
      return;
    }
    if (starts.needsHigherFence()) {
      fence.raise(now);
      raisedByHold = holds.nextNumber();
    }
    long number = holds.send(now);
    long deadlineMillis =
        now.isBefore(until) && lease.isClockKnown() ? lease.deadlineMillis(until, now) : 0;
    boolean verified = isVerified(now);
    effects.add(
        new CallHold(
            number,
            p.life(),
            fence.forCall(),
            acknowledgements.forHoldCall(verified),
            deadlineMillis,
            verified && !acknowledgements.hasNoneSince(lists)
                ? HoldCalls.MAX_WAIT
                : Duration.ZERO));
  }

  /** Returns whether calls are known to reach the incarnation that they are meant for. */
  boolean isVerified(Instant now) {
    return holds.isVerified(now);
  }

  /**
   * Begins a new incarnation of the minion. A new incarnation with the same identity as the
   * previous one may accept calls that were sent to the previous one, so the pending starts are
   * then revoked.
   */
  private void beginIncarnation(boolean sameIdentity, Instant now) {
    formerExpectations = expectations();
    fence.raise(now);
    hasFormerIncarnation = sameIdentity;
    listsKnown = false;
    lists = RunLists.EMPTY;
    if (sameIdentity) {
      starts.onMinionRestarted();
    } else {
      starts.clear();
    }
    revoked.onLists(lists, starts.runs());
    lease.beginIncarnation(now);
    sequence = 0;
    acknowledgements.beginIncarnation();
    successor = null;
    hasAnswered = false;
    listedAt = Instant.MIN;
    holds.beginIncarnation(now);
  }

  private String expectations() {
    return String.format(
        "hold_unanswered=%s running=%d unresolved=%d runs_until=%s",
        holds.isInFlight(), lists.running().size(), starts.runs().size(), lease.runsExpireAt());
  }
}
