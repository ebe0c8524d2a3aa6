package org.cassiastack.agent;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cassiastack.controller.Effect;
import org.cassiastack.model.MinionId;
import org.cassiastack.runs.ActiveRun;
import org.cassiastack.runs.EndedRun;
import org.cassiastack.runs.MinionIncarnation;
import org.cassiastack.runs.MinionProfile;
import org.cassiastack.runs.RunId;
import org.cassiastack.runs.StartOrder;
import org.jspecify.annotations.Nullable;

/** What an agent knows of its minion, and the calls between the two. */
final class MinionLink {
  /** How long the minion waits for an end before it answers; a lease is renewed five times. */
  private static final Duration WAIT = Duration.ofMillis(200);

  /**
   * How long an answer vouches for the life of the minion: two waits and a little. A process takes
   * longer than that to start again.
   */
  private static final Duration VOUCHED = Duration.ofMillis(450);

  /** Pause before the lists are asked for again while the leader has not acknowledged an end. */
  private static final Duration ACKNOWLEDGE_PAUSE = Duration.ofMillis(30);

  /** Pause after a call that failed. */
  private static final Duration RETRY_PAUSE = Duration.ofMillis(50);

  /** A minion that has not answered for this long, beyond the wait, gets no more work. */
  private static final Duration SILENCE = Duration.ofMillis(400);

  private final AgentSettings settings;
  private final MinionClock clock = new MinionClock();
  private final PendingStarts starts = new PendingStarts();
  private @Nullable MinionProfile profile;
  private long sequence;
  private List<ActiveRun> running = List.of();
  private List<EndedRun> ended = List.of();
  private long acknowledged;
  private long listedAcknowledged;
  private long holds;
  private boolean holding;

  /** When the last call was sent that this very life has answered. */
  private Instant verifiedAt = Instant.MIN;

  private Instant holdSentAt = Instant.MIN;

  private Instant nextHold = Instant.MIN;
  private Instant answeredAt = Instant.MIN;
  private Instant listedAt = Instant.MIN;
  private Instant lapsesAt = Instant.MIN;

  MinionLink(AgentSettings settings) {
    this.settings = settings;
  }

  @Nullable MinionProfile profile() {
    return profile;
  }

  boolean isIncarnation(MinionIncarnation life) {
    MinionProfile p = profile;
    return p != null && p.life().equals(life);
  }

  List<ActiveRun> running() {
    return running;
  }

  /** Returns how long ago the minion gave its lists. */
  Duration listAge(Instant now) {
    return listedAt.equals(Instant.MIN) ? Duration.ZERO : Duration.between(listedAt, now);
  }

  List<EndedRun> ended() {
    return ended;
  }

  List<RunId> unresolved() {
    return starts.runs();
  }

  boolean isReachable(Instant now) {
    return !now.isAfter(answeredAt.plus(WAIT).plus(SILENCE));
  }

  /** Takes an announcement; tells whether it changes anything. */
  boolean onAnnounced(MinionAnnounced a, Instant now) {
    MinionProfile former = profile;
    if (former != null && former.life().equals(a.profile().life())) {
      if (a.sequence() <= sequence) {
        return false;
      }
    } else if (former != null
        && a.profile().life().startedAtMillis() < former.life().startedAtMillis()) {
      return false;
    } else {
      beginLife(former != null && former.life().id().equals(a.profile().life().id()));
    }
    sequence = a.sequence();
    profile = a.profile();
    clock.addSample(a.clockMillis(), now);
    return !a.profile().equals(former);
  }

  /** The minion ends, and all that it runs with it. */
  boolean onLeft(MinionId id) {
    MinionProfile p = profile;
    if (p == null || !p.life().id().equals(id)) {
      return false;
    }
    forgetLists();
    starts.clear();
    profile = new MinionProfile(p.life(), p.service(), p.domain(), p.capacity(), p.labels(), true);
    answeredAt = Instant.MIN;
    return true;
  }

  void acknowledged(@Nullable MinionIncarnation life, long through) {
    if (life != null && isIncarnation(life) && through > acknowledged) {
      acknowledged = through;
      nextHold = Instant.MIN;
    }
  }

  /** Starts a run; returns false when it must not start. */
  boolean start(
      StartOrder order, long fence, Instant leaseUntil, Instant now, List<Effect> effects) {
    MinionProfile p = profile;
    if (p == null || p.draining() || !isVerified(now) || !now.isBefore(leaseUntil)) {
      return false;
    }
    long deadline = deadline(leaseUntil, now);
    effects.add(starts.add(p.life(), order, fence, deadline));
    return true;
  }

  /** Words why nothing can start now; for operators. */
  String startRefusalReason(Instant now) {
    MinionProfile p = profile;
    if (p == null) {
      return "no_minion";
    }
    if (p.draining()) {
      return "minion_leaving";
    }
    return isVerified(now) ? "no_lease" : "minion_silent";
  }

  void stop(RunId run, long fence, List<Effect> effects) {
    MinionProfile p = profile;
    if (p != null) {
      effects.add(new CallStop(p.life(), run, fence));
    }
  }

  /** Takes the outcome of a start; tells whether the leader should hear of it. */
  boolean onStartAnswered(StartAnswered a) {
    return starts.onStartAnswered(a, holds + 1);
  }

  /** Takes the outcome of a stop, which settles a start that was revoked. */
  void onStopAnswered(StopAnswered a) {
    starts.onStopAnswered(a, holds + 1);
  }

  /** Takes the minion's lists; tells whether they bring news. */
  boolean onHoldAnswered(HoldAnswered h, Instant now) {
    if (h.number() != holds || !holding) {
      return false;
    }
    holding = false;
    verifiedAt = holdSentAt;
    answeredAt = now;
    clock.addSample(h.clockMillis(), now);
    boolean news = !runs(h.running()).equals(runs(running)) || !h.ended().equals(ended);
    listedAt = now;
    running = h.running();
    ended = h.ended();
    listedAcknowledged = acknowledged;
    Set<RunId> listed = runs(running);
    ended.forEach(e -> listed.add(e.run()));
    news |= starts.onLists(listed, h.number(), h.clockMillis());
    nextHold = ended.isEmpty() ? Instant.MIN : now.plus(ACKNOWLEDGE_PAUSE);
    return news;
  }

  void onHoldFailed(long number) {
    if (number == holds && holding) {
      holding = false;
      verifiedAt = Instant.MIN;
      nextHold = Instant.MAX;
    }
  }

  /** Lets time pass; tells whether runs are known to have lapsed by it. */
  boolean onTick(Instant now) {
    if (nextHold.equals(Instant.MAX)) {
      nextHold = now.plus(RETRY_PAUSE);
    }
    boolean any = !running.isEmpty() || !starts.isEmpty();
    if (any && !isReachable(now) && now.isAfter(lapsesAt)) {
      running = List.of();
      starts.onDeadlinesPassed();
      return true;
    }
    return false;
  }

  /** Makes the calls that are due. */
  void sendDueCalls(long fence, Instant leaseUntil, Instant now, List<Effect> effects) {
    MinionProfile p = profile;
    if (p == null) {
      return;
    }
    starts.sendDueCalls(p.life(), fence, leaseUntil, now, effects);
    if (holding || now.isBefore(nextHold)) {
      return;
    }
    holding = true;
    holds++;
    holdSentAt = now;
    long deadline = now.isBefore(leaseUntil) && clock.isKnown() ? deadline(leaseUntil, now) : 0;
    boolean unacknowledged = !ended.isEmpty() && listedAcknowledged == acknowledged;
    boolean verified = isVerified(now);
    effects.add(
        new CallHold(
            holds,
            p.life(),
            fence,
            verified ? acknowledged : 0,
            deadline,
            verified && !unacknowledged ? WAIT : Duration.ZERO));
  }

  /**
   * Tells whether calls reach the life that is meant. After a silence the minion may have begun a
   * new life under its former identity, which would take what is not for it.
   */
  private boolean isVerified(Instant now) {
    return !now.isAfter(verifiedAt.plus(VOUCHED));
  }

  /** Returns the end of the lease on the minion's clock, and takes note of when it surely is. */
  private long deadline(Instant leaseUntil, Instant now) {
    Duration left = Duration.between(now, leaseUntil);
    Duration length = left.compareTo(settings.maxLease()) < 0 ? left : settings.maxLease();
    long millis = clock.lowerBoundMillis(now) + length.toMillis();
    Instant past = clock.certainlyPassedAt(millis).plus(settings.stopGrace().multipliedBy(2));
    lapsesAt = past.isAfter(lapsesAt) ? past : lapsesAt;
    return millis;
  }

  /** Begins a new life of the minion; under its former identity it may take late calls. */
  private void beginLife(boolean sameIdentity) {
    forgetLists();
    if (sameIdentity) {
      starts.revokeAll();
    } else {
      starts.clear();
    }
    clock.reset();
    sequence = 0;
    acknowledged = 0;
    listedAcknowledged = 0;
    holding = false;
    verifiedAt = Instant.MIN;
    holds++;
    nextHold = Instant.MIN;
    lapsesAt = Instant.MIN;
  }

  private void forgetLists() {
    running = List.of();
    ended = List.of();
  }

  private static Set<RunId> runs(List<ActiveRun> list) {
    List<RunId> ids = new ArrayList<>();
    list.forEach(r -> ids.add(r.run()));
    return new HashSet<>(ids);
  }
}
