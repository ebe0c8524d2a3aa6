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
import org.cassiastack.protocol.PeerDisconnected;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
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

  private LeaderRequestController() {}

  /** Creates a controller that knows no leader. */
  public static LeaderRequestController create() {
    return new LeaderRequestController();
  }

  @Override
  public List<Effect> on(Event event, Instant now) {
    List<Effect> effects = new ArrayList<>();
    if (tracker.leader() == null && leaderlessSince == null) {
      leaderlessSince = now;
    }
    if (event instanceof RequestPosted c) {
      onCall(new PendingRequest(c.request(), null, now, c.deadline()), now, effects);
    } else if (event instanceof DomainOrder o) {
      onCall(new PendingRequest(firstRequest(o), o, now, o.deadline()), now, effects);
    } else if (event instanceof Received r && r.message() instanceof LeaderReply a) {
      onReply(a, now, effects);
    } else if (event instanceof Received r && r.message() instanceof LeaderNotice n) {
      if (tracker.onNotice(r.from(), n)) {
        onLeaderChanged(LeaderViewChanged.Cause.NOTICE, now, effects);
      }
    } else if (event instanceof PeerDisconnected d) {
      if (tracker.onDisconnect(d.peer())) {
        pendingRequests.values().forEach(PendingRequest::onDisconnected);
        onLeaderChanged(LeaderViewChanged.Cause.CONNECTION_LOST, now, effects);
      }
    } else if (event instanceof Tick) {
      onTick(now, effects);
    }
    return effects;
  }

  @Override
  public Instant nextTickAt(Instant now) {
    return pendingRequests.isEmpty() ? Instant.MAX : now;
  }

  private void onCall(PendingRequest pending, Instant now, List<Effect> effects) {
    if (!now.isBefore(pending.deadline)) {
      // The process was paused after it read the request; the caller may have sent it elsewhere.
      effects.add(unanswered(pending));
      return;
    }
    if (isElectionOverdue(now)) {
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

  private void onReply(LeaderReply reply, Instant now, List<Effect> effects) {
    PendingRequest pending = pendingRequests.get(reply.requestId());
    if (pending == null) {
      return;
    }
    if (reply.answer().code() == AnswerCode.NOT_LEADER) {
      // The request is sent again on the next leader change or tick.
      pending.onNotLeader();
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
    RequestAnswer answer =
        pending.isRefusalUncertain(reply)
            ? RequestAnswer.of(AnswerCode.UNANSWERED)
            : reply.answer();
    effects.add(new RequestAnswered(reply.requestId(), answer));
  }

  /** Returns whether an answer states a revision: every answer to a request for one does. */
  private static boolean isRevision(RequestAnswer answer) {
    return answer.code() == AnswerCode.FOUND || answer.code() == AnswerCode.NOT_CONFIGURED;
  }

  private void onRevision(DomainOrder o, DomainRevision r, Instant now, List<Effect> effects) {
    if (r.number() == 0) {
      // The leader has an earlier version, which carries every order out.
      LeaderRequest request = new SwitchDomain(o.requestId(), o.domain(), o.out());
      onCall(new PendingRequest(request, o, now, o.deadline()), now, effects);
    } else if (!now.isAfter(o.awaitedUntil())) {
      onCall(new PendingRequest(switchSince(o, r), o, now, o.deadline()), now, effects);
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

  private void onTick(Instant now, List<Effect> effects) {
    for (Iterator<PendingRequest> i = pendingRequests.values().iterator(); i.hasNext(); ) {
      PendingRequest pending = i.next();
      boolean leaderTimedOut =
          !now.isBefore(pending.receivedAt.plus(NO_LEADER_TIMEOUT)) || isElectionOverdue(now);
      boolean noLeaderInTime = !pending.mayHaveEffect && leaderTimedOut && tracker.leader() == null;
      if (!now.isBefore(pending.deadline) || noLeaderInTime) {
        i.remove();
        effects.add(pending.mayHaveEffect ? unanswered(pending) : noLeader(pending));
      } else if (!now.isBefore(pending.resendAt)) {
        send(pending, "leader_silent", now, effects);
      }
    }
  }

  private void send(PendingRequest pending, String reason, Instant now, List<Effect> effects) {
    NodeId leader = tracker.leader();
    if (leader != null && now.isBefore(pending.deadline)) {
      if (pending.sendCount > 0) {
        String inputs =
            "leader=" + leader + " sends=" + pending.sendCount + " since=" + pending.receivedAt;
        effects.add(Decision.of("request_sent_again", pending.request.requestId(), reason, inputs));
      }
      pending.onSent(leader, tracker.term(), now);
      effects.add(new Send(leader, pending.requestToSend(now)));
    }
  }

  private static final class PendingRequest {
    final LeaderRequest request;

    /** The order that the request is a step of; null for a request that is no such step. */
    final @Nullable DomainOrder order;

    final Instant receivedAt;
    final Instant deadline;
    Instant resendAt = Instant.MIN;
    boolean mayHaveEffect;
    private int sendCount;
    private Duration resendDelay = RESEND_DELAY;

    /**
     * Leader that the request was last sent to, with its term in {@link #term}; null before the
     * first sending and after the connection to the leader was lost.
     */
    private @Nullable NodeId leader;

    private long term;

    /**
     * Number of leaders that the request was sent to. The same leader counts again in a later term
     * and after the connection to it was lost.
     */
    private int leaderCount;

    PendingRequest(
        LeaderRequest request, @Nullable DomainOrder order, Instant receivedAt, Instant deadline) {
      this.request = request;
      this.order = order;
      this.receivedAt = receivedAt;
      this.deadline = deadline;
    }

    void onSent(NodeId receiver, long receiverTerm, Instant now) {
      if (!receiver.equals(leader) || receiverTerm != term) {
        leader = receiver;
        term = receiverTerm;
        leaderCount++;
        resendDelay = RESEND_DELAY;
      }
      sendCount++;
      resendAt = now.plus(resendDelay);
      Duration doubledDelay = resendDelay.multipliedBy(2);
      resendDelay = doubledDelay.compareTo(MAX_RESEND_DELAY) < 0 ? doubledDelay : MAX_RESEND_DELAY;
      mayHaveEffect = true;
    }

    /**
     * Handles the loss of the connection to the leader. The leader may answer the request, and drop
     * its record of the answer, before it can be reached again, so it counts as another leader from
     * now on.
     */
    void onDisconnected() {
      leader = null;
    }

    /**
     * Returns the request as it is sent now: a submitted job states how long its caller has waited.
     */
    LeaderRequest requestToSend(Instant now) {
      Duration waitTime = Duration.between(receivedAt, now);
      return request instanceof SubmitJob s && !waitTime.isZero()
          ? s.withAdditionalWait(waitTime)
          : request;
    }

    /**
     * Returns whether a refusal does not prove that the job has not run. An earlier leader that the
     * job was sent to, or the same leader in an earlier term, may have started the job.
     */
    boolean isRefusalUncertain(LeaderReply reply) {
      boolean sentInSeveralTerms = leaderCount > 1 || (sendCount > 1 && reply.term() != term);
      return request instanceof SubmitJob
          && sentInSeveralTerms
          && reply.answer().code() != AnswerCode.ACCEPTED;
    }

    /**
     * Handles a refusal by a process that is not the leader. If the request was sent only once, the
     * refusal proves that the request had no effect.
     */
    void onNotLeader() {
      if (sendCount == 1) {
        mayHaveEffect = false;
        sendCount = 0;
        leaderCount = 0;
        leader = null;
      }
      resendAt = Instant.MIN;
    }
  }
}
