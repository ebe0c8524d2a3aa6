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
 * Hands requests to the leader and keeps them until they are answered.
 *
 * <ol>
 *   <li>A request is sent again to each new leader, and to the same one when it keeps silent.
 *   <li>Without a leader a request waits for a short while, then it is refused: it had no effect.
 *       Once that has lasted longer than an election takes, requests are refused as they come.
 *   <li>A job that more than one leader was asked for is not refused as "not run": an earlier
 *       leader may have started it. One leader refuses a repeat as it refused the first, as long as
 *       the connection to it lasts.
 *   <li>At its deadline a request that was sent is {@link DeskCode#UNANSWERED}: nobody knows.
 * </ol>
 *
 * @since 0.2
 */
public final class LeaderRequestController implements Controller {
  /** How long a request waits for a leader before it is refused; most elections are longer. */
  static final Duration NO_LEADER_TIMEOUT = Duration.ofMillis(300);

  /** Time without a leader in which most elections end: two election timeouts and a little. */
  static final Duration TYPICAL_ELECTION_TIME = Duration.ofMillis(700);

  /**
   * Silence of the leader after which a request is sent again; a commit takes a tenth of it. Each
   * further repeat waits twice as long, lest repeats keep a leader busy that lags behind.
   */
  static final Duration RESEND_DELAY = Duration.ofMillis(400);

  /** Longest pause between repeats; leaders remember refusals for longer. */
  static final Duration MAX_RESEND_DELAY = Duration.ofMillis(1_600);

  private final LeaderTracker tracker = LeaderTracker.create();
  private final Map<Long, Waiting> calls = new LinkedHashMap<>();

  /** Since when no leader is known; null while one is. */
  private @Nullable Instant leaderlessSince;

  private LeaderRequestController() {}

  /** Makes a controller that knows no leader. */
  public static LeaderRequestController create() {
    return new LeaderRequestController();
  }

  @Override
  public List<Effect> on(Event event, Instant now) {
    List<Effect> effects = new ArrayList<>();
    if (tracker.leader() == null && leaderlessSince == null) {
      leaderlessSince = now;
    }
    if (event instanceof DeskCall c) {
      called(c, now, effects);
    } else if (event instanceof Received r && r.message() instanceof LeaderReply a) {
      answered(a, effects);
    } else if (event instanceof Received r && r.message() instanceof LeaderNotice n) {
      if (tracker.onNotice(r.from(), n)) {
        leaderChanged(LeaderViewChanged.Cause.NOTICE, now, effects);
      }
    } else if (event instanceof PeerDisconnected d) {
      if (tracker.onDisconnect(d.peer())) {
        calls.values().forEach(Waiting::disconnected);
        leaderChanged(LeaderViewChanged.Cause.CONNECTION_LOST, now, effects);
      }
    } else if (event instanceof Tick) {
      tick(now, effects);
    }
    return effects;
  }

  private void called(DeskCall c, Instant now, List<Effect> effects) {
    Waiting w = new Waiting(c.request(), now, c.deadline());
    if (isElectionOverdue(now)) {
      effects.add(noLeader(w));
      return;
    }
    calls.put(c.request().requestId(), w);
    send(w, "first", now, effects);
  }

  private boolean isElectionOverdue(Instant now) {
    return leaderlessSince != null && !now.isBefore(leaderlessSince.plus(TYPICAL_ELECTION_TIME));
  }

  private static RequestAnswered noLeader(Waiting w) {
    return new RequestAnswered(w.request.requestId(), RequestAnswer.of(DeskCode.NO_LEADER));
  }

  private static RequestAnswered unanswered(Waiting w) {
    return new RequestAnswered(w.request.requestId(), RequestAnswer.of(DeskCode.UNANSWERED));
  }

  private void answered(LeaderReply reply, List<Effect> effects) {
    Waiting w = calls.get(reply.requestId());
    if (w == null) {
      return;
    }
    if (reply.answer().code() == DeskCode.NOT_LEADER) {
      // It is sent again with the next notice or tick.
      w.refused();
      return;
    }
    calls.remove(reply.requestId());
    RequestAnswer answer =
        w.isRefusalUncertain(reply) ? RequestAnswer.of(DeskCode.UNANSWERED) : reply.answer();
    effects.add(new RequestAnswered(reply.requestId(), answer));
  }

  private void leaderChanged(LeaderViewChanged.Cause cause, Instant now, List<Effect> effects) {
    leaderlessSince = tracker.leader() == null ? now : null;
    effects.add(new LeaderViewChanged(tracker.leader(), tracker.members(), cause));
    for (Waiting w : calls.values()) {
      send(w, "leader_changed", now, effects);
    }
  }

  private void tick(Instant now, List<Effect> effects) {
    for (Iterator<Waiting> i = calls.values().iterator(); i.hasNext(); ) {
      Waiting w = i.next();
      boolean waitedLong = !now.isBefore(w.since.plus(NO_LEADER_TIMEOUT)) || isElectionOverdue(now);
      boolean hopeless = !w.mayHaveEffect && waitedLong && tracker.leader() == null;
      if (!now.isBefore(w.deadline) || hopeless) {
        i.remove();
        effects.add(w.mayHaveEffect ? unanswered(w) : noLeader(w));
      } else if (!now.isBefore(w.resendAt)) {
        send(w, "leader_silent", now, effects);
      }
    }
  }

  private void send(Waiting w, String reason, Instant now, List<Effect> effects) {
    NodeId leader = tracker.leader();
    if (leader != null) {
      if (w.sends > 0) {
        String inputs = "leader=" + leader + " sends=" + w.sends + " since=" + w.since;
        effects.add(Decision.of("request_sent_again", w.request.requestId(), reason, inputs));
      }
      w.sent(leader, tracker.term(), now);
      effects.add(new Send(leader, w.requestAt(now)));
    }
  }

  private static final class Waiting {
    final LeaderRequest request;
    final Instant since;
    final Instant deadline;
    Instant resendAt = Instant.MIN;
    boolean mayHaveEffect;
    private int sends;
    private Duration pause = RESEND_DELAY;

    /** The leader that was asked last, in its term, and how many were asked in all. */
    private @Nullable NodeId leader;

    private long term;
    private int leaders;

    Waiting(LeaderRequest request, Instant since, Instant deadline) {
      this.request = request;
      this.since = since;
      this.deadline = deadline;
    }

    void sent(NodeId to, long inTerm, Instant now) {
      if (!to.equals(leader) || inTerm != term) {
        leader = to;
        term = inTerm;
        leaders++;
        pause = RESEND_DELAY;
      }
      sends++;
      resendAt = now.plus(pause);
      Duration next = pause.multipliedBy(2);
      pause = next.compareTo(MAX_RESEND_DELAY) < 0 ? next : MAX_RESEND_DELAY;
      mayHaveEffect = true;
    }

    /**
     * The leader may answer, and forget that it did, before it can be reached again: it then counts
     * as another one.
     */
    void disconnected() {
      leader = null;
    }

    /** Returns what is sent now: a job tells how long its caller has waited. */
    LeaderRequest requestAt(Instant now) {
      Duration waited = Duration.between(since, now);
      return request instanceof SubmitJob s && !waited.isZero()
          ? s.withAdditionalWait(waited)
          : request;
    }

    /**
     * Tells whether a refusal does not prove that nothing has run: another leader that was asked
     * for the job before, or the same one in the term that it was asked in, may have started it.
     */
    boolean isRefusalUncertain(LeaderReply reply) {
      boolean severalTerms = leaders > 1 || (sends > 1 && reply.term() != term);
      return request instanceof SubmitJob
          && severalTerms
          && reply.answer().code() != DeskCode.ACCEPTED;
    }

    /** A refusal by the only process that was ever asked proves that nothing happened. */
    void refused() {
      if (sends == 1) {
        mayHaveEffect = false;
        sends = 0;
        leaders = 0;
        leader = null;
      }
      resendAt = Instant.MIN;
    }
  }
}
