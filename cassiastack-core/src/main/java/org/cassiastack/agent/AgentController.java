package org.cassiastack.agent;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.cassiastack.controller.Controller;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Tick;
import org.cassiastack.decision.Decision;
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
import org.cassiastack.runs.RunId;
import org.cassiastack.runs.RunOrders;
import org.cassiastack.runs.StartOrder;

/**
 * Runs one minion for the leader.
 *
 * <ol>
 *   <li>It obeys the leader with the highest fence that it has heard of, and nobody else.
 *   <li>It starts runs, and keeps them alive, only while it holds a lease of that leader. Cut off,
 *       it lets them lapse.
 *   <li>It reports what the minion lists, together with what may be there unlisted, so that a run
 *       that is in neither list is proved not to exist.
 * </ol>
 *
 * @since 0.2
 */
public final class AgentController implements Controller {
  /** How often the agent reports when nothing happens; a lease outlasts four lost reports. */
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(200);

  private final AgentSettings settings;
  private final LeaderTracker tracker = LeaderTracker.create();
  private final MinionLink minion;
  private long fence;
  private long ordersThrough;
  private Instant leaseUntil = Instant.MIN;
  private Instant reportedAt = Instant.MIN;
  private boolean reportDue;

  private AgentController(AgentSettings settings) {
    this.settings = settings;
    this.minion = new MinionLink(settings);
  }

  /** Makes an agent that knows neither minion nor leader. */
  public static AgentController create(AgentSettings settings) {
    return new AgentController(settings);
  }

  @Override
  public List<Effect> on(Event event, Instant now) {
    List<Effect> effects = new ArrayList<>();
    if (event instanceof MinionAnnounced a) {
      if (minion.onAnnounced(a, now)) {
        reportDue = true;
        String state = a.profile().draining() ? "leaving" : "available";
        effects.add(
            Decision.of("minion_announced", a.profile().life(), state, "seq=" + a.sequence()));
      }
    } else if (event instanceof MinionLeft l) {
      reportDue |= minion.onLeft(l.minion());
    } else if (event instanceof StartAnswered s) {
      reportDue |= minion.onStartAnswered(s);
    } else if (event instanceof StopAnswered s) {
      minion.onStopAnswered(s);
    } else if (event instanceof HoldAnswered h) {
      reportDue |= minion.onHoldAnswered(h, now);
    } else if (event instanceof HoldFailed h) {
      minion.onHoldFailed(h.number());
    } else if (event instanceof Received r) {
      received(r, now, effects);
    } else if (event instanceof PeerDisconnected d && tracker.onDisconnect(d.peer())) {
      effects.add(
          new LeaderViewChanged(null, tracker.members(), LeaderViewChanged.Cause.CONNECTION_LOST));
    } else if (event instanceof PeerConnected p && p.peer().equals(tracker.leader())) {
      reportDue = true;
    } else if (event instanceof Tick) {
      reportDue |= minion.onTick(now) || !now.isBefore(reportedAt.plus(REPORT_INTERVAL));
    }
    minion.sendDueCalls(fence, leaseUntil, now, effects);
    report(now, effects);
    return effects;
  }

  private void received(Received r, Instant now, List<Effect> effects) {
    if (r.message() instanceof LeaderNotice n) {
      // Others may have named it before it was ready to take a report.
      reportDue |= r.from().equals(n.leader());
      if (tracker.onNotice(r.from(), n)) {
        reportDue = true;
        effects.add(
            new LeaderViewChanged(
                tracker.leader(), tracker.members(), LeaderViewChanged.Cause.NOTICE));
      }
    } else if (r.message() instanceof AgentLease l && l.fence() >= fence) {
      if (l.fence() > fence) {
        fence = l.fence();
        // Each leader numbers its orders from 1.
        ordersThrough = 0;
        reportDue = true;
      }
      Instant until = l.reportSentAt().plus(l.duration());
      leaseUntil = until.isAfter(leaseUntil) ? until : leaseUntil;
      minion.acknowledged(l.minionIncarnation(), l.acknowledgedThrough());
    } else if (r.message() instanceof RunOrders o) {
      ordered(o, now, effects);
    }
  }

  private void ordered(RunOrders o, Instant now, List<Effect> effects) {
    boolean mine = o.agentIncarnation().equals(settings.incarnation());
    if (!mine || o.fence() != fence || o.number() <= ordersThrough) {
      return;
    }
    ordersThrough = o.number();
    reportDue |= o.starts().isEmpty() && o.stops().isEmpty();
    if (!minion.isIncarnation(o.minionIncarnation())) {
      reportDue = true;
      return;
    }
    for (StartOrder s : o.starts()) {
      if (!minion.start(s, fence, leaseUntil, now, effects)) {
        String inputs = "fence=" + fence + " lease_left=" + Duration.between(now, leaseUntil);
        effects.add(Decision.of("start_refused", s.run(), minion.startRefusalReason(now), inputs));
        reportDue = true;
      }
    }
    for (RunId s : o.stops()) {
      minion.stop(s, fence, effects);
    }
  }

  private void report(Instant now, List<Effect> effects) {
    NodeId leader = tracker.leader();
    if (!reportDue || leader == null || !now.isAfter(reportedAt)) {
      return;
    }
    reportDue = false;
    reportedAt = now;
    effects.add(
        new Send(
            leader,
            new AgentReport(
                settings.incarnation(),
                now,
                fence,
                minion.profile(),
                minion.isReachable(now),
                isSettled(now),
                ordersThrough,
                minion.listAge(now),
                minion.running(),
                minion.unresolved(),
                minion.ended())));
  }

  /**
   * Tells whether no call of an earlier life of this agent can still be carried out unseen: none of
   * them is valid for longer than a lease.
   */
  private boolean isSettled(Instant now) {
    Duration longest = settings.maxLease().plus(settings.stopGrace());
    return !now.isBefore(settings.processStartedAt().plus(longest));
  }
}
