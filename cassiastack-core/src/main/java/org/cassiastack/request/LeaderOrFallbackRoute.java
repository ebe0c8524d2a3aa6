package org.cassiastack.request;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.decision.Decision;
import org.cassiastack.fallback.FallbackDirectory;
import org.cassiastack.fallback.FallbackOffer;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.PeerConnected;
import org.cassiastack.protocol.PeerDisconnected;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.jspecify.annotations.Nullable;

/**
 * The route of an entry that sends jobs which need not be stored to a fallback dispatcher while the
 * leader is silent. A job goes there only if it was sent to nobody before, so no job is ever at a
 * leader and at a fallback dispatcher.
 */
final class LeaderOrFallbackRoute implements FallbackRoute {
  /**
   * How long a request waits for a fallback dispatcher that takes it, from the time when the leader
   * counts as silent. The dispatcher may have heard the leader by one notice (200 ms) longer.
   */
  private static final Duration SEARCH_TIMEOUT = Duration.ofMillis(300);

  /**
   * How long requests wait for the first dispatcher to be connected and to take them before they go
   * to a later one. It may have heard the leader by one notice longer than this entry, and the
   * agents of the domain ask it first, so a later one has no capacity yet.
   */
  private static final Duration FIRST_DISPATCHER_WAIT = Duration.ofMillis(200);

  /** Time without a connection to the nearest dispatchers after which all of them are dialed. */
  private static final Duration DIAL_ALL_DELAY = Duration.ofMillis(200);

  /** Interval of ticks in the absence of other events, so that a longer gap is a pause. */
  private static final Duration MAX_EVENT_GAP = Duration.ofMillis(250);

  /**
   * Gap between two events from which it counts as a pause of this process. During a pause the
   * leader was not silent: its messages wait to be read.
   */
  private static final Duration PAUSE_GAP = Duration.ofMillis(400);

  private final EntryFallback settings;
  private final FallbackTargets targets = FallbackTargets.create();
  private final Set<NodeId> connected = new HashSet<>();

  /** Control members that have got the offer of this entry since the last change of leader. */
  private final Set<NodeId> offered = new HashSet<>();

  private @Nullable NodeId leader;
  private long term;
  private Instant heardAt = Instant.MIN;
  private Instant lastEventAt = Instant.MIN;

  /** Since when the leader has been silent; null while it is heard. */
  private @Nullable Instant silentSince;

  /** Since when the leader is heard again; null while no connection has to be closed. */
  private @Nullable Instant heardAgainSince;

  private boolean dialedAll;

  LeaderOrFallbackRoute(EntryFallback settings) {
    this.settings = settings;
    connected.add(settings.self());
  }

  @Override
  public boolean on(Event event, LeaderTracker tracker, Instant now, List<Effect> effects) {
    discountPause(now);
    NodeId current = tracker.leader();
    if (current != null && (!current.equals(leader) || tracker.term() != term)) {
      leader = current;
      term = tracker.term();
      heardAt = now;
      offered.clear();
    }
    if (event instanceof PeerConnected p) {
      connected.add(p.peer());
      if (tracker.members().contains(p.peer())) {
        offer(p.peer(), effects);
      }
    } else if (event instanceof PeerDisconnected p) {
      connected.remove(p.peer());
      offered.remove(p.peer());
    } else if (event instanceof Received r) {
      onReceived(r, current, now, effects);
    }
    return updateSilence(now, effects);
  }

  private void onReceived(Received r, @Nullable NodeId current, Instant now, List<Effect> effects) {
    if (r.from().equals(current)) {
      heardAt = now;
    }
    if (r.message() instanceof LeaderNotice) {
      offer(r.from(), effects);
    } else if (r.message() instanceof FallbackDirectory d) {
      // Only leaders send directories; the notice of this one may not have arrived yet.
      heardAt = now;
      targets.onDirectory(d);
    }
  }

  private void offer(NodeId member, List<Effect> effects) {
    if (offered.add(member)) {
      effects.add(new Send(member, new FallbackOffer(settings.domain(), settings.mayDispatch())));
    }
  }

  private void discountPause(Instant now) {
    if (lastEventAt.equals(Instant.MIN)) {
      lastEventAt = now;
    }
    Duration gap = Duration.between(lastEventAt, now);
    if (gap.compareTo(PAUSE_GAP) > 0 && !heardAt.equals(Instant.MIN)) {
      heardAt = heardAt.plus(gap);
    }
    lastEventAt = now;
  }

  private boolean updateSilence(Instant now, List<Effect> effects) {
    Instant back = heardAgainSince;
    if (back != null && !now.isBefore(back.plus(FallbackTargets.HANG_UP_DELAY))) {
      heardAgainSince = null;
      effects.add(new HangUpFallback());
    }
    boolean silent =
        !targets.isEmpty() && !now.isBefore(heardAt.plus(FallbackTargets.ENGAGE_DELAY));
    Instant since = silentSince;
    if (silent && since == null) {
      silentSince = now;
      heardAgainSince = null;
      dialedAll = false;
      List<NodeId> nodes = targets.inOrderFor(settings.domain());
      effects.add(new DialFallback(nodes.subList(0, Math.min(2, nodes.size()))));
      String inputs = "leader=" + leader + " heard=" + heardAt + " targets=" + nodes.size();
      effects.add(Decision.of("leader_silent", settings.self(), "fallback", inputs));
    } else if (silent && since != null && !dialedAll && isDialAllDue(since, now)) {
      dialedAll = true;
      effects.add(new DialFallback(targets.inOrderFor(settings.domain())));
    } else if (!silent && since != null) {
      silentSince = null;
      heardAgainSince = now;
      String inputs = "leader=" + leader + " since=" + since;
      effects.add(Decision.of("leader_heard_again", settings.self(), "leader", inputs));
      return true;
    }
    return false;
  }

  private boolean isDialAllDue(Instant since, Instant now) {
    return !now.isBefore(since.plus(DIAL_ALL_DELAY))
        && targets.inOrderFor(settings.domain()).stream().noneMatch(connected::contains);
  }

  @Override
  public boolean mayUseLeader(PendingRequest pending) {
    return silentSince == null || pending.mayHaveEffect || !mayUseFallback(pending.request);
  }

  @Override
  public @Nullable NodeId dispatcherFor(PendingRequest pending, Instant now) {
    Instant since = silentSince;
    if (since == null || mayUseLeader(pending)) {
      return null;
    }
    boolean mayUseLaterOnes = !now.isBefore(since.plus(FIRST_DISPATCHER_WAIT));
    for (NodeId node : targets.inOrderFor(settings.domain())) {
      if (connected.contains(node) && !pending.refusingFallbacks().contains(node)) {
        return node;
      }
      if (!mayUseLaterOnes) {
        break;
      }
    }
    // Those that have refused may have engaged by the next tick.
    pending.refusingFallbacks().clear();
    return null;
  }

  private static boolean mayUseFallback(LeaderRequest request) {
    return request instanceof CancelJob || (request instanceof SubmitJob s && !s.job().durable());
  }

  @Override
  public boolean mayFindDispatcher(PendingRequest pending, Instant now) {
    Instant since = silentSince;
    if (targets.isEmpty() || !mayUseFallback(pending.request)) {
      return false;
    }
    return since == null || now.isBefore(latest(since, pending.receivedAt).plus(SEARCH_TIMEOUT));
  }

  private static Instant latest(Instant one, Instant other) {
    return one.isAfter(other) ? one : other;
  }

  @Override
  public LeaderRequest toFallback(LeaderRequest request, @Nullable Instant probeSentAt) {
    return request instanceof SubmitJob s
        ? new FallbackSubmit(s, targets.configurationVersion(), probeSentAt)
        : request;
  }

  @Override
  public LeaderRequest resubmission(LeaderRequest request, @Nullable Instant probeSentAt) {
    return request instanceof SubmitJob s ? new ResubmitJob(s, probeSentAt) : request;
  }

  @Override
  public boolean isAnswerLost(PendingRequest pending, Instant now) {
    boolean waitsForLeader = pending.mayHaveEffect && pending.fallback() == null;
    Instant since = latest(heardAt, pending.handedOverAt());
    return waitsForLeader
        && pending.request instanceof SubmitJob s
        && !s.job().durable()
        && silentSince != null
        && !now.isBefore(since.plus(settings.leaseExpiryTimeout()));
  }

  @Override
  public Instant nextTickAt() {
    return targets.isEmpty() ? Instant.MAX : lastEventAt.plus(MAX_EVENT_GAP);
  }
}
