package org.cassiastack.agent;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.cassiastack.controller.ClockLeaped;
import org.cassiastack.controller.Controller;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Tick;
import org.cassiastack.decision.Decision;
import org.cassiastack.fallback.FallbackDirectory;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.PeerConnected;
import org.cassiastack.protocol.PeerDisconnected;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.cassiastack.request.LeaderNotice;
import org.cassiastack.request.LeaderTracker;
import org.cassiastack.request.LeaderViewChanged;
import org.cassiastack.runs.AgentLease;
import org.cassiastack.runs.AgentReport;
import org.cassiastack.runs.Fences;
import org.cassiastack.runs.MinionProfile;
import org.cassiastack.runs.RunId;
import org.cassiastack.runs.RunOrders;
import org.cassiastack.runs.StartOrder;
import org.jspecify.annotations.Nullable;

/**
 * Controls one minion on behalf of the leader, or of a fallback dispatcher where there is none.
 *
 * <ol>
 *   <li>It obeys only the leader with the highest fence that it has received, and of several
 *       fallback dispatchers with this fence the one that it has chosen ({@link LeaderOrFallback}).
 *   <li>When it takes a fallback dispatcher, it revokes all runs of the former holder, and extends
 *       no deadline beyond the former lease while one of these runs may exist.
 *   <li>It starts runs, and extends the deadline of the minion's runs, only while it holds a lease
 *       of that leader. If it is cut off from the leader, the runs expire.
 *   <li>It reports the runs that the minion lists and the runs that may exist without being listed.
 *       A run that is in neither of these lists is proven absent.
 * </ol>
 *
 * @since 0.2
 */
public final class AgentController implements Controller {
  /** Interval of reports when nothing changes. A lease is still valid after four lost reports. */
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(200);

  /**
   * Age from which the last report is followed by another one as soon as the minion has answered,
   * so that the answer and the report share a wake-up.
   */
  private static final Duration OLD_REPORT_AGE = Duration.ofMillis(150);

  private final AgentSettings settings;
  private final LeaderTracker tracker = LeaderTracker.create();
  private final MinionLink minion;
  private final HolderChoice holders;
  private long fence;

  /** The process whose leases and orders the agent obeys; null before the first lease. */
  private @Nullable NodeId holder;

  /** Number of the last orders of {@link #holder} that were processed. */
  private long processedOrdersThrough;

  /** Whether the agent has taken the same fallback dispatcher again; for the log only. */
  private boolean retaken;

  /**
   * Whether a leader may have removed this agent from the ledger because its minion was leaving, so
   * that the next leader does not wait for the runs of the next minion.
   */
  private boolean mayBeRemoved;

  private Instant leaseUntil = Instant.MIN;

  /** Duration of the last lease, which the next one is likely to have. */
  private Duration leaseDuration = Duration.ZERO;

  private Instant reportedAt = Instant.MIN;
  private boolean reportDue;
  private Duration totalLeap = Duration.ZERO;

  private AgentController(AgentSettings settings) {
    this.settings = settings;
    this.minion = new MinionLink(settings);
    this.holders = HolderChoice.of(settings);
  }

  /** Creates an agent that knows neither its minion nor the leader. */
  public static AgentController create(AgentSettings settings) {
    return new AgentController(settings);
  }

  @Override
  public List<Effect> on(Event event, Instant now) {
    List<Effect> effects = new ArrayList<>();
    MinionProfile former = minion.profile();
    if (event instanceof MinionAnnounced a) {
      if (minion.onAnnounced(a, now)) {
        reportDue = true;
        mayBeRemoved |= a.profile().draining();
        String outcome = a.profile().draining() ? "leaving" : "available";
        effects.add(
            Decision.of("minion_announced", a.profile().life(), outcome, "seq=" + a.sequence()));
      }
    } else if (event instanceof MinionLeft l) {
      reportDue |= minion.onLeft(l.minion());
    } else if (event instanceof StartAnswered s) {
      reportDue |= minion.onStartAnswered(s, now);
    } else if (event instanceof StopAnswered s) {
      minion.onStopAnswered(s, now);
    } else if (event instanceof HoldAnswered h) {
      reportDue |= minion.onHoldAnswered(h, leaseUntil, now) || isReportOld(now);
    } else if (event instanceof HoldFailed h) {
      reportDue |= minion.onHoldFailed(h, now);
    } else if (event instanceof Received r) {
      onReceived(r, now, effects);
    } else if (event instanceof PeerDisconnected d && tracker.onDisconnect(d.peer())) {
      effects.add(
          new LeaderViewChanged(null, tracker.members(), LeaderViewChanged.Cause.CONNECTION_LOST));
    } else if (event instanceof PeerConnected p) {
      reportDue |= p.peer().equals(tracker.leader()) || holders.onConnected(p.peer());
    } else if (event instanceof ClockLeaped c) {
      totalLeap = totalLeap.plus(c.by());
      minion.onClockLeaped(c.by());
    } else if (event instanceof Tick) {
      boolean runsExpired = minion.onTick(now);
      if (runsExpired) {
        String inputs = "unresolved=" + minion.unresolved().size() + " fence=" + fence;
        Object life = former == null ? "none" : former.life();
        effects.add(Decision.of("minion_runs_expired", life, "silent", inputs));
      }
      reportDue |= runsExpired || !now.isBefore(reportedAt.plus(REPORT_INTERVAL));
      reportDue |= holders.onTick(fallbackDomain(now), now, effects);
    }
    logNewIncarnation(former, effects);
    return effects;
  }

  private void logNewIncarnation(@Nullable MinionProfile former, List<Effect> effects) {
    MinionProfile p = minion.profile();
    if (p == null || (former != null && former.life().equals(p.life()))) {
      return;
    }
    boolean sameIdentity = former != null && former.life().id().equals(p.life().id());
    String outcome = sameIdentity ? "same_identity" : "new_identity";
    String inputs =
        former == null
            ? "former=none"
            : "former=" + former.life() + " " + minion.formerExpectations();
    effects.add(Decision.of("minion_adopted", p.life(), outcome, inputs));
  }

  /** Sends the calls and the report that are due after all events of the turn. */
  @Override
  public List<Effect> endTurn(Instant now) {
    List<Effect> effects = new ArrayList<>();
    minion.sendDueCalls(leaseUntil, now, effects);
    report(now, effects);
    return effects;
  }

  @Override
  public Instant nextTickAt(Instant now) {
    boolean hasReceiver = tracker.leader() != null || holders.fallback() != null;
    Instant reportAt = hasReceiver ? reportedAt.plus(REPORT_INTERVAL) : Instant.MAX;
    Instant callAt = minion.nextTickAt(now);
    Instant holderAt = holders.nextTickAt();
    Instant at = callAt.isBefore(reportAt) ? callAt : reportAt;
    return holderAt.isBefore(at) ? holderAt : at;
  }

  /**
   * Returns the failure domain whose fallback dispatchers may be used, or null if none may be. A
   * restarted agent uses none while runs of its earlier incarnation may exist that it does not
   * know, because it could not revoke them; nor does one that a leader may have removed.
   */
  private @Nullable FailureDomain fallbackDomain(Instant now) {
    MinionProfile p = minion.profile();
    return p != null && !mayBeRemoved && haveEarlierCallsExpired(now) ? p.domain() : null;
  }

  private void onReceived(Received r, Instant now, List<Effect> effects) {
    if (r.message() instanceof LeaderNotice n) {
      // Other members may have named this leader before it was ready to accept a report.
      reportDue |= r.from().equals(n.leader());
      if (tracker.onNotice(r.from(), n)) {
        reportDue = true;
        effects.add(
            new LeaderViewChanged(
                tracker.leader(), tracker.members(), LeaderViewChanged.Cause.NOTICE));
      }
      holders.onNotice(r.from(), n, now, effects);
    } else if (r.message() instanceof FallbackDirectory d) {
      holders.onDirectory(d);
    } else if (r.message() instanceof AgentLease l) {
      boolean mayTake =
          l.fence() >= fence && holders.mayTakeLease(r.from(), l.fence(), l.reportSentAt());
      if (mayTake && mayAnswerOwnReport(l, now)) {
        onLease(r.from(), l, now, effects);
      } else {
        effects.add(HolderLog.ignoredLease(r.from(), l, mayTake, fence, holder));
      }
    } else if (r.message() instanceof RunOrders o) {
      onOrders(r.from(), o, now, effects);
    }
  }

  /**
   * Returns whether a lease may answer a report of this incarnation. An answer to the former one
   * can arrive here, and if the clock was set back in between, the lease would end later than the
   * leader counts on.
   */
  private boolean mayAnswerOwnReport(AgentLease l, Instant now) {
    Instant sentAt = l.reportSentAt();
    return !sentAt.isBefore(settings.processStartedAt()) && !sentAt.isAfter(now);
  }

  private void onLease(NodeId from, AgentLease l, Instant now, List<Effect> effects) {
    boolean newFence = l.fence() > fence;
    NodeId former = holder;
    long formerFence = fence;
    holder = from;
    fence = l.fence();
    if (holders.onLease(from, l.fence(), now, effects)) {
      int revoked = minion.revokeRuns(leaseUntil);
      String inputs =
          "fence=" + fence + " lease_left=" + Duration.between(now, leaseUntil) + " revoked=";
      effects.add(Decision.of("fallback_taken", from, "runs_revoked", inputs + revoked));
      retaken = from.equals(former) && fence == formerFence;
      newFence = true;
    } else if (newFence) {
      effects.add(HolderLog.leaderObeyed(from, l, formerFence, former, leaseUntil, now));
    }
    if (newFence) {
      minion.onHolder(fence, now);
      // Each holder has numbers of its own.
      processedOrdersThrough = 0;
      reportDue = true;
    }
    Instant until = l.reportSentAt().plus(l.duration());
    leaseUntil = until.isAfter(leaseUntil) ? until : leaseUntil;
    leaseDuration = l.duration();
    minion.onAcknowledged(l.minionIncarnation(), l.acknowledgedThrough());
    MinionProfile p = minion.profile();
    boolean isOfLeader = !Fences.isFallback(l.fence());
    if (isOfLeader && p != null && !p.draining() && p.life().equals(l.minionIncarnation())) {
      mayBeRemoved = false;
    }
  }

  private void onOrders(NodeId from, RunOrders o, Instant now, List<Effect> effects) {
    Incarnation self = settings.incarnation();
    boolean mayObey =
        holders.mayObeyOrders(from, o.fence())
            && o.agentIncarnation().equals(self)
            && o.fence() == fence;
    if (!mayObey || o.number() <= processedOrdersThrough) {
      effects.add(HolderLog.ignoredOrders(from, o, self, fence, holder, processedOrdersThrough));
      return;
    }
    // Fallback dispatchers do not number their orders from 1.
    boolean mayBeLate = Fences.isFallback(fence) ? retaken : o.number() > 1;
    if (processedOrdersThrough == 0 && mayBeLate) {
      effects.add(HolderLog.resumedOrders(from, o, Duration.between(now, leaseUntil)));
    }
    processedOrdersThrough = o.number();
    reportDue |= o.starts().isEmpty() && o.stops().isEmpty();
    if (!minion.isIncarnation(o.minionIncarnation())) {
      effects.add(HolderLog.otherMinion(from, o));
      reportDue = true;
      return;
    }
    for (StartOrder s : o.starts()) {
      if (!minion.start(s, leaseUntil, now, effects)) {
        String inputs = "fence=" + fence + " lease_left=" + Duration.between(now, leaseUntil);
        effects.add(Decision.of("start_refused", s.run(), startRefusalReason(now), inputs));
        reportDue = true;
      }
    }
    for (RunId s : o.stops()) {
      minion.stop(s, effects);
    }
  }

  /** Returns the reason why no run can start now, as an outcome for the log. */
  private String startRefusalReason(Instant now) {
    MinionProfile p = minion.profile();
    if (p == null) {
      return "no_minion";
    }
    if (p.draining()) {
      return "minion_leaving";
    }
    if (!minion.isVerified(now)) {
      return "minion_silent";
    }
    return minion.coversInheritedLease(leaseUntil) ? "no_lease" : "inherited_lease";
  }

  /**
   * Returns whether the minion answers, and may start runs under the lease for a report once its
   * lists are complete.
   */
  private boolean isReachable(Instant now) {
    boolean mayStart = minion.coversInheritedLease(now.plus(leaseDuration));
    return minion.isReachable(now) && (mayStart || !areListsComplete(now));
  }

  private boolean isReportOld(Instant now) {
    return !now.isBefore(reportedAt.plus(OLD_REPORT_AGE));
  }

  private void report(Instant now, List<Effect> effects) {
    NodeId leader = tracker.leader();
    NodeId fallback = holders.fallback();
    if (!reportDue || (leader == null && fallback == null) || !now.isAfter(reportedAt)) {
      return;
    }
    reportDue = false;
    reportedAt = now;
    if (leader != null) {
      effects.add(new Send(leader, reportFor(leader, now)));
    }
    if (fallback != null) {
      effects.add(new Send(fallback, reportFor(fallback, now)));
    }
  }

  /**
   * Returns the report for a receiver. Orders of another holder do not count as its own: fallback
   * dispatchers may have equal fences, and each one has numbers of its own. Neither do orders from
   * before the agent began to ask the receiver again, as the next ones may have lower numbers.
   */
  private AgentReport reportFor(NodeId receiver, Instant now) {
    return new AgentReport(
        settings.incarnation(),
        now,
        fence,
        minion.profile(),
        isReachable(now),
        areListsComplete(now),
        receiver.equals(holder) && holders.mayObeyOrders(receiver, fence)
            ? processedOrdersThrough
            : 0,
        minion.listAge(now),
        minion.lists().running(),
        minion.unresolved(),
        minion.lists().ended());
  }

  /**
   * Returns whether the reported run lists are complete. They are not while the minion has more
   * ends than it lists. After a start of this agent, the minion may still carry out a call of an
   * earlier incarnation, and the lists may lack the run. Such a call is valid for no longer than
   * the maximum lease, and the minion takes up to the stop grace to end a run.
   */
  private boolean areListsComplete(Instant now) {
    return minion.areListsComplete() && haveEarlierCallsExpired(now);
  }

  private boolean haveEarlierCallsExpired(Instant now) {
    Duration maxRemainingTime = settings.maxLease().plus(settings.stopGrace());
    return !now.isBefore(settings.processStartedAt().plus(totalLeap).plus(maxRemainingTime));
  }
}
