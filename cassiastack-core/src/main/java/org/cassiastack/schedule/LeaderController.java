package org.cassiastack.schedule;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.UUID;
import java.util.function.Supplier;
import org.cassiastack.consensus.CommandCommitted;
import org.cassiastack.consensus.LeaderChanged;
import org.cassiastack.consensus.LeaseExtended;
import org.cassiastack.consensus.MembersChanged;
import org.cassiastack.consensus.SnapshotRequested;
import org.cassiastack.consensus.SnapshotRestored;
import org.cassiastack.consensus.SnapshotTaken;
import org.cassiastack.controller.ClockLeaped;
import org.cassiastack.controller.Controller;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Raise;
import org.cassiastack.controller.Tick;
import org.cassiastack.decision.Decision;
import org.cassiastack.fallback.FallbackOffer;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.PeerConnected;
import org.cassiastack.protocol.PeerDisconnected;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.cassiastack.queue.JobLedger;
import org.cassiastack.queue.LedgerCodec;
import org.cassiastack.request.AnswerCode;
import org.cassiastack.request.AwaitedJobs;
import org.cassiastack.request.FallbackSubmit;
import org.cassiastack.request.LeaderNotice;
import org.cassiastack.request.LeaderReply;
import org.cassiastack.request.LeaderRequest;
import org.cassiastack.request.RequestAnswer;
import org.cassiastack.runs.AgentReport;
import org.cassiastack.schedule.internal.FallbackAnnouncer;
import org.cassiastack.schedule.internal.LeaderTerm;
import org.jspecify.annotations.Nullable;

/**
 * Maintains the job ledger of a control member and schedules jobs while the member is the leader.
 *
 * <pre>{@code
 * ControllerLoop.start("control", List.of(raft.controller(), leader), ...);
 * }</pre>
 *
 * @since 0.2
 */
public final class LeaderController implements Controller {
  /** How often the leader notice is sent again, for processes that missed the last change. */
  private static final Duration NOTICE_INTERVAL = Duration.ofMillis(500);

  private final NodeId self;
  private final ScheduleSettings settings;
  private final LedgerCodec codec;
  private final Supplier<UUID> proposalIds;
  private final JobLedger ledger;
  private final Set<NodeId> peers = new TreeSet<>(NodeId.BY_NAME);
  private final FallbackAnnouncer fallback = new FallbackAnnouncer();

  private LeaderNotice notice = new LeaderNotice(0, null, List.of());
  private Instant nextNoticeAt = Instant.MIN;
  private @Nullable LeaderTerm term;

  /**
   * Last extension of the leadership lease, or null. The first extension of a term arrives before
   * the {@link LeaderChanged} event that names this member.
   */
  private @Nullable LeaseExtended lease;

  private LeaderController(
      NodeId self, ScheduleSettings settings, LedgerCodec codec, Supplier<UUID> proposalIds) {
    this.self = self;
    this.settings = settings;
    this.codec = codec;
    this.proposalIds = proposalIds;
    this.ledger = JobLedger.create(settings.retention());
  }

  /**
   * Creates the controller of one control member.
   *
   * @param self the member's node
   * @param settings durations of leases and of the retention of ended jobs
   * @param codec encodes and decodes ledger batches and snapshots
   * @param proposalIds supplies a unique id for each proposal
   */
  public static LeaderController create(
      NodeId self, ScheduleSettings settings, LedgerCodec codec, Supplier<UUID> proposalIds) {
    return new LeaderController(self, settings, codec, proposalIds);
  }

  @Override
  public List<Effect> on(Event event, Instant now) {
    List<Effect> effects = new ArrayList<>();
    if (event instanceof CommandCommitted c) {
      onCommandCommitted(c, now);
    } else if (event instanceof SnapshotRestored s) {
      ledger.restore(codec.decodeSnapshot(s.state()));
      fallback.onLedgerChanged();
    } else if (event instanceof SnapshotRequested w) {
      effects.add(new Raise(new SnapshotTaken(w.index(), codec.encode(ledger.snapshot()))));
    } else if (event instanceof LeaderChanged l) {
      onLeaderChanged(l, now, effects);
    } else if (event instanceof MembersChanged m) {
      fallback.onMembers(m.nodes());
      updateNotice(new LeaderNotice(notice.term(), notice.leader(), m.nodes()), effects);
    } else if (event instanceof PeerConnected p) {
      peers.add(p.peer());
      effects.add(new Send(p.peer(), notice));
      fallback.sendDirectory(p.peer(), effects);
    } else if (event instanceof PeerDisconnected p) {
      peers.remove(p.peer());
      LeaderTerm t = term;
      if (t != null) {
        t.onDisconnected(p.peer());
      }
      if (settings.fallback()) {
        fallback.onDisconnected(p.peer(), now);
      }
    } else if (event instanceof Received r && r.message() instanceof FallbackOffer offer) {
      if (settings.fallback()) {
        fallback.onOffer(r.from(), offer);
      }
    } else {
      handleLeaderEvent(event, now, effects);
    }
    return effects;
  }

  /** Places tasks, and sends orders and proposals, for all events of the turn together. */
  @Override
  public List<Effect> endTurn(Instant now) {
    LeaderTerm t = term;
    if (t == null) {
      return List.of();
    }
    List<Effect> effects = new ArrayList<>();
    // Before the orders of this turn, so that no entry can dispatch by an older state of a stored
    // job that starts in it, unless the entry is already cut off.
    if (settings.fallback() && t.isGenerationCommitted() && t.holdsLeadership(now)) {
      fallback.announce(t.term(), ledger, peers, now, effects);
    }
    effects.addAll(t.advance(now));
    return effects;
  }

  @Override
  public Instant nextTickAt(Instant now) {
    return term == null ? nextNoticeAt : now;
  }

  private void handleLeaderEvent(Event event, Instant now, List<Effect> effects) {
    LeaderTerm t = term;
    if (event instanceof Received r && r.message() instanceof LeaderRequest request) {
      boolean isForFallback = request instanceof FallbackSubmit;
      if (t == null || !t.holdsLeadership(now) || isForFallback) {
        LeaderReply reply =
            new LeaderReply(request.requestId(), RequestAnswer.of(AnswerCode.NOT_LEADER), 0);
        effects.add(new Send(r.from(), reply));
        return;
      }
      t.onRequest(r.from(), request, now);
      // An answer depends on the leadership lease, so it does not wait for the end of the turn.
      effects.addAll(t.takeEffects());
    } else if (event instanceof Received r && r.message() instanceof AgentReport report) {
      if (t != null) {
        t.onReport(r.from(), report, now);
      }
    } else if (event instanceof Received r && r.message() instanceof AwaitedJobs answer) {
      if (t != null) {
        t.onAwaitedJobs(r.from(), answer, now);
      }
    } else if (event instanceof ClockLeaped c) {
      if (t != null) {
        t.onClockLeaped(c.by());
      }
    } else if (event instanceof LeaseExtended l) {
      lease = l;
      if (t != null) {
        t.onLeaseExtended(l.until());
      }
    } else if (event instanceof Tick) {
      if (t != null) {
        t.tick(!fallback.mayHoldAgents(now), now);
        probeCallers(t, now);
      }
      if (!now.isBefore(nextNoticeAt)) {
        nextNoticeAt = now.plus(NOTICE_INTERVAL);
        broadcastNotice(effects);
      }
    }
  }

  /** Probes also show entries that this leader is there. */
  private void probeCallers(LeaderTerm t, Instant now) {
    if (settings.fallback()) {
      t.probeCallers(fallback.entries(), now);
    }
  }

  private void onCommandCommitted(CommandCommitted c, Instant now) {
    ledger.apply(codec.decodeBatch(c.command()));
    fallback.onLedgerChanged();
    LeaderTerm t = term;
    if (t != null) {
      t.onCommitted(c.proposalId(), now);
    }
  }

  private void onLeaderChanged(LeaderChanged l, Instant now, List<Effect> effects) {
    if (!l.leading()) {
      if (term != null) {
        effects.addAll(term.takeEffects());
        effects.add(Decision.of("leadership_ended", term.fence(), "lost", "leader=" + l.leader()));
      }
      term = null;
      fallback.reset();
    } else if (term == null || term.term() != l.term()) {
      LeaderTerm t = LeaderTerm.start(l.term(), ledger, settings, codec, proposalIds, now);
      if (lease != null && lease.term() == l.term()) {
        t.onLeaseExtended(lease.until());
      }
      term = t;
      fallback.reset();
      // The entries send their jobs with the notice that follows; those can start if the entries
      // have got a probe before.
      probeCallers(t, now);
      effects.addAll(t.takeEffects());
    }
    updateNotice(new LeaderNotice(l.term(), l.leader(), notice.members()), effects);
  }

  private void updateNotice(LeaderNotice next, List<Effect> effects) {
    notice = next;
    broadcastNotice(effects);
  }

  private void broadcastNotice(List<Effect> effects) {
    for (NodeId p : peers) {
      effects.add(new Send(p, notice));
    }
    effects.add(new Raise(new Received(self, notice)));
  }
}
