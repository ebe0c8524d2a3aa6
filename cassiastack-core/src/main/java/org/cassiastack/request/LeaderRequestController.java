package org.cassiastack.request;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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
import org.cassiastack.queue.QueuedJobId;
import org.jspecify.annotations.Nullable;

/**
 * Sends requests to the leader and holds them until they are answered.
 *
 * <ol>
 *   <li>A request is sent again to each new leader, and to the same leader while it does not
 *       answer.
 *   <li>While no leader is known, a request that cannot have had an effect waits for a short time
 *       and is then refused. When no leader has been known for longer than most elections take, new
 *       requests are refused at once.
 *   <li>When a job was sent to more than one leader, a refusal is replaced by {@link
 *       AnswerCode#UNANSWERED}, because an earlier leader may have started the job. A leader counts
 *       once, however often the job is sent to it in one term over one connection, because it
 *       refuses a repeated request as it refused the first.
 *   <li>A request that was sent and has no answer at its deadline gets {@link
 *       AnswerCode#UNANSWERED}: it is not known whether the request had an effect.
 *   <li>For a {@link DomainOrder}, the leader is first asked for a {@link DomainRevision}. If the
 *       operator still waits when the revision arrives, the order is sent with it; otherwise the
 *       operator has to confirm the order with this revision. An order that lies somewhere for
 *       seconds therefore never takes effect after a newer one.
 *   <li>Where fallback dispatchers are in use ({@link LeaderOrFallbackRoute}), a job that need not
 *       be stored and was sent to nobody goes to one of them while the leader is silent. It is sent
 *       to a leader only after the fallback dispatcher has handed it over, and as a {@link
 *       ResubmitJob}. When the connection to the fallback dispatcher is lost, or the leader that
 *       has the job stays silent until its runs have ended, it gets {@link AnswerCode#UNANSWERED}
 *       at once.
 *   <li>To the {@link CallerProbe} of a dispatcher it answers which of the jobs that need not be
 *       stored are still awaited. A job whose caller is gone is not sent any more.
 * </ol>
 *
 * @since 0.2
 */
public final class LeaderRequestController implements Controller {
  /** How long a request waits for a leader before it is refused. Most elections take longer. */
  static final Duration NO_LEADER_TIMEOUT = Duration.ofMillis(300);

  /** Time without a leader within which most elections end: two election timeouts and a margin. */
  static final Duration TYPICAL_ELECTION_TIME = Duration.ofMillis(700);

  /**
   * Delay after which a request without an answer is first sent again. A commit takes a tenth of
   * this delay. The delay doubles with each repeat, so that repeats do not overload a leader that
   * lags behind.
   */
  static final Duration RESEND_DELAY = Duration.ofMillis(400);

  /**
   * Maximum delay between repeats. It is shorter than the time for which leaders retain refusals.
   */
  static final Duration MAX_RESEND_DELAY = Duration.ofMillis(1_600);

  private final LeaderTracker tracker = LeaderTracker.create();
  private final Map<Long, PendingRequest> pendingRequests = new LinkedHashMap<>();

  /**
   * Since when no leader has been known; null while a leader is known and before the first event.
   */
  private @Nullable Instant leaderlessSince;

  private final FallbackRoute fallback;
  private final CallerProbes probes = new CallerProbes();

  private LeaderRequestController(FallbackRoute fallback) {
    this.fallback = fallback;
  }

  /** Creates a controller that knows no leader. */
  public static LeaderRequestController create() {
    return new LeaderRequestController(new FallbackRoute.LeaderOnly());
  }

  /** Creates a controller that knows no leader and uses fallback dispatchers. */
  public static LeaderRequestController withFallback(EntryFallback settings) {
    return new LeaderRequestController(new LeaderOrFallbackRoute(settings));
  }

  @Override
  public List<Effect> on(Event event, Instant now) {
    List<Effect> effects = new ArrayList<>();
    if (tracker.leader() == null && leaderlessSince == null) {
      leaderlessSince = now;
    }
    if (event instanceof Received r && r.message() instanceof LeaderNotice n) {
      if (tracker.onNotice(r.from(), n)) {
        onLeaderChanged(LeaderViewChanged.Cause.NOTICE, now, effects);
      }
    } else if (event instanceof PeerDisconnected d) {
      probes.onDisconnected(d.peer());
      onDisconnected(d.peer(), now, effects);
    }
    if (fallback.on(event, tracker, now, effects)) {
      sendUnsent("leader_heard", now, effects);
    }
    if (event instanceof RequestPosted c) {
      onCall(PendingRequest.of(c, now), now, effects);
    } else if (event instanceof DomainOrder o) {
      onCall(PendingRequest.stepOf(o, firstRequest(o), now), now, effects);
    } else if (event instanceof Received r && r.message() instanceof LeaderReply a) {
      onReply(r.from(), a, now, effects);
    } else if (event instanceof Received r && r.message() instanceof CallerProbe p) {
      probes.onProbe(r.from(), p, now);
    } else if (event instanceof RequestAbandoned a) {
      onAbandoned(a.requestId(), effects);
    } else if (event instanceof PeerConnected) {
      sendUnsent("dispatcher_connected", now, effects);
    } else if (event instanceof Tick) {
      onTick(now, effects);
    }
    return effects;
  }

  @Override
  public Instant nextTickAt(Instant now) {
    return pendingRequests.isEmpty() && !probes.areArriving() ? fallback.nextTickAt() : now;
  }

  /** Drops a job that nobody waits for; other requests take effect without their caller. */
  private void onAbandoned(long requestId, List<Effect> effects) {
    PendingRequest pending = pendingRequests.get(requestId);
    if (pending != null && pending.request instanceof SubmitJob s && !s.job().durable()) {
      pendingRequests.remove(requestId);
      effects.add(Decision.of("caller_gone", s.job().id(), "dropped", pending.describe()));
    }
  }

  private void answerProbes(Instant now, List<Effect> effects) {
    for (NodeId dispatcher : probes.takeSettled(now)) {
      List<QueuedJobId> awaited = new ArrayList<>();
      for (PendingRequest pending : pendingRequests.values()) {
        boolean isAwaited = pending.isAt(dispatcher) && now.isBefore(pending.deadline);
        if (isAwaited && pending.request instanceof SubmitJob s && !s.job().durable()) {
          awaited.add(s.job().id());
          pending.onConfirmed(now);
        }
      }
      Instant sentAt = probes.lastOf(dispatcher);
      if (!awaited.isEmpty() && sentAt != null) {
        effects.add(new Send(dispatcher, new AwaitedJobs(sentAt, awaited)));
      }
    }
  }

  private void onDisconnected(NodeId peer, Instant now, List<Effect> effects) {
    int lost = 0;
    for (Iterator<PendingRequest> i = pendingRequests.values().iterator(); i.hasNext(); ) {
      PendingRequest pending = i.next();
      if (peer.equals(pending.fallback())) {
        i.remove();
        answerUnanswered(pending, "fallback_lost", "", effects);
        lost++;
      }
    }
    if (lost > 0) {
      effects.add(Decision.of("fallback_lost", peer, "unanswered", "requests=" + lost));
    }
    if (tracker.onDisconnect(peer)) {
      pendingRequests.values().forEach(PendingRequest::onDisconnected);
      onLeaderChanged(LeaderViewChanged.Cause.CONNECTION_LOST, now, effects);
    }
  }

  private void onCall(PendingRequest pending, Instant now, List<Effect> effects) {
    if (!now.isBefore(pending.deadline)) {
      // The process was paused after it read the request; the caller may have sent it elsewhere.
      answerUnanswered(pending, "late", "", effects);
      return;
    }
    if (isElectionOverdue(now) && !fallback.mayFindDispatcher(pending, now)) {
      effects.add(noLeader(pending));
      return;
    }
    pendingRequests.put(pending.request.requestId(), pending);
    send(pending, "first", now, effects);
  }

  private static LeaderRequest firstRequest(DomainOrder o) {
    DomainRevision r = o.basedOn();
    return r == null ? new AskQueueConfiguration(o.requestId()) : switchSince(o, r);
  }

  private static LeaderRequest switchSince(DomainOrder o, DomainRevision basedOn) {
    return new SwitchDomainSince(o.requestId(), o.domain(), o.out(), basedOn);
  }

  private boolean isElectionOverdue(Instant now) {
    return leaderlessSince != null && !now.isBefore(leaderlessSince.plus(TYPICAL_ELECTION_TIME));
  }

  private static RequestAnswered noLeader(PendingRequest pending) {
    return new RequestAnswered(pending.request.requestId(), RequestAnswer.of(AnswerCode.NO_LEADER));
  }

  private static RequestAnswered unanswered(PendingRequest pending) {
    return new RequestAnswered(
        pending.request.requestId(), RequestAnswer.of(AnswerCode.UNANSWERED));
  }

  /**
   * Answers a request as unanswered, and reports it if it is a job, which its caller may resend.
   */
  private static void answerUnanswered(
      PendingRequest pending, String reason, String inputs, List<Effect> effects) {
    effects.add(unanswered(pending));
    if (pending.request instanceof SubmitJob) {
      String all = pending.describe() + inputs;
      effects.add(Decision.of("job_unanswered", pending.subject(), reason, all));
    }
  }

  private void onReply(NodeId from, LeaderReply reply, Instant now, List<Effect> effects) {
    PendingRequest pending = pendingRequests.get(reply.requestId());
    if (pending == null || (pending.fallback() != null && !from.equals(pending.fallback()))) {
      return;
    }
    if (reply.answer().code() == AnswerCode.NOT_LEADER) {
      // Another fallback dispatcher is tried at once. A leader is tried on its change or on a tick.
      boolean fromFallback = pending.fallback() != null;
      pending.onNotLeader();
      if (fromFallback) {
        send(pending, "fallback_refused", now, effects);
      }
      return;
    }
    if (reply.answer().code() == AnswerCode.HANDED_OVER) {
      if (pending.fallback() != null) {
        pending.onHandedOver(now);
        send(pending, "handed_over", now, effects);
      }
      return;
    }
    DomainOrder order = pending.order;
    if (order != null && isRevision(reply.answer())) {
      if (pending.request instanceof AskQueueConfiguration) {
        pendingRequests.remove(reply.requestId());
        onRevision(order, new DomainRevision(reply.term(), reply.answer().count()), now, effects);
      }
      // Otherwise the leader has answered a repeated request for the revision again.
      return;
    }
    pendingRequests.remove(reply.requestId());
    if (pending.isRefusalUncertain(reply)) {
      String inputs = " code=" + reply.answer().code() + " from=" + from;
      answerUnanswered(pending, "refusal_uncertain", inputs, effects);
    } else {
      effects.add(new RequestAnswered(reply.requestId(), reply.answer()));
    }
  }

  /** Returns whether an answer states a revision: every answer to a request for one does. */
  private static boolean isRevision(RequestAnswer answer) {
    return answer.code() == AnswerCode.FOUND || answer.code() == AnswerCode.NOT_CONFIGURED;
  }

  private void onRevision(DomainOrder o, DomainRevision r, Instant now, List<Effect> effects) {
    if (r.number() == 0) {
      // The leader has an earlier version, which carries every order out.
      LeaderRequest request = new SwitchDomain(o.requestId(), o.domain(), o.out());
      onCall(PendingRequest.stepOf(o, request, now), now, effects);
    } else if (!now.isAfter(o.awaitedUntil())) {
      onCall(PendingRequest.stepOf(o, switchSince(o, r), now), now, effects);
    } else {
      String inputs = "out=" + o.out() + " revision=" + r + " awaited_until=" + o.awaitedUntil();
      effects.add(Decision.of("domain_order_refused", o.domain(), "confirmation_needed", inputs));
      effects.add(new RequestAnswered(o.requestId(), RequestAnswer.confirmationNeeded(r)));
    }
  }

  private void onLeaderChanged(LeaderViewChanged.Cause cause, Instant now, List<Effect> effects) {
    leaderlessSince = tracker.leader() == null ? now : null;
    effects.add(new LeaderViewChanged(tracker.leader(), tracker.members(), cause));
    for (PendingRequest pending : pendingRequests.values()) {
      send(pending, "leader_changed", now, effects);
    }
  }

  /** Sends the requests that no process has now: unsent ones and those that were handed over. */
  private void sendUnsent(String reason, Instant now, List<Effect> effects) {
    for (PendingRequest pending : pendingRequests.values()) {
      if (pending.resendAt.equals(Instant.MIN)) {
        send(pending, reason, now, effects);
      }
    }
  }

  private void onTick(Instant now, List<Effect> effects) {
    answerProbes(now, effects);
    for (Iterator<PendingRequest> i = pendingRequests.values().iterator(); i.hasNext(); ) {
      PendingRequest pending = i.next();
      boolean leaderTimedOut =
          !now.isBefore(pending.receivedAt.plus(NO_LEADER_TIMEOUT)) || isElectionOverdue(now);
      boolean noLeaderInTime =
          !pending.mayHaveEffect
              && leaderTimedOut
              && leaderToSendTo(pending) == null
              && !fallback.mayFindDispatcher(pending, now);
      boolean answerLost = fallback.isAnswerLost(pending, now);
      if (!now.isBefore(pending.deadline) || noLeaderInTime || answerLost) {
        i.remove();
        if (answerLost) {
          effects.add(unanswered(pending));
          String inputs = pending.describe();
          effects.add(Decision.of("answer_lost", pending.subject(), "unanswered", inputs));
        } else if (pending.mayHaveEffect) {
          answerUnanswered(pending, "deadline", "", effects);
        } else {
          effects.add(noLeader(pending));
        }
      } else if (!now.isBefore(pending.resendAt)) {
        send(pending, "leader_silent", now, effects);
      }
    }
  }

  private void send(PendingRequest pending, String reason, Instant now, List<Effect> effects) {
    if (pending.fallback() != null || !now.isBefore(pending.deadline)) {
      return;
    }
    NodeId dispatcher = fallback.dispatcherFor(pending, now);
    if (dispatcher != null) {
      String inputs = "dispatcher=" + dispatcher + " " + pending.describe();
      effects.add(Decision.of("request_sent_to_fallback", pending.subject(), "sent", inputs));
      pending.onSentToFallback(dispatcher);
      LeaderRequest request =
          fallback.toFallback(pending.requestToSend(now), probes.lastOf(dispatcher));
      effects.add(new Send(dispatcher, request));
      return;
    }
    NodeId leader = leaderToSendTo(pending);
    if (leader != null) {
      if (pending.sendCount() > 0) {
        String inputs = "leader=" + leader + " " + pending.describe();
        effects.add(Decision.of("request_sent_again", pending.subject(), reason, inputs));
      }
      pending.onSent(leader, tracker.term(), now);
      effects.add(new Send(leader, toLeader(pending, leader, now)));
    }
  }

  private LeaderRequest toLeader(PendingRequest pending, NodeId leader, Instant now) {
    LeaderRequest request = pending.requestToSend(now);
    Instant probeSentAt = probes.lastOf(leader);
    if (pending.hasEarlierDispatcher()) {
      return fallback.resubmission(request, probeSentAt);
    }
    return probeSentAt != null && request instanceof SubmitJob s && !s.job().durable()
        ? new AwaitedSubmit(s, probeSentAt)
        : request;
  }

  /** Returns the leader that the request may be sent to, or null. */
  private @Nullable NodeId leaderToSendTo(PendingRequest pending) {
    return fallback.mayUseLeader(pending) ? tracker.leader() : null;
  }
}
