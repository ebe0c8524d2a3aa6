package org.cassiastack.schedule;

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
import org.cassiastack.fallback.FallbackNode;
import org.cassiastack.fallback.FallbackState;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.PeerDisconnected;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.cassiastack.request.AnswerCode;
import org.cassiastack.request.AskJob;
import org.cassiastack.request.AwaitedJobs;
import org.cassiastack.request.CancelJob;
import org.cassiastack.request.FallbackSubmit;
import org.cassiastack.request.FallbackTargets;
import org.cassiastack.request.LeaderNotice;
import org.cassiastack.request.LeaderReply;
import org.cassiastack.request.LeaderRequest;
import org.cassiastack.request.LeaderTracker;
import org.cassiastack.request.RequestAnswer;
import org.cassiastack.runs.AgentReport;
import org.cassiastack.schedule.internal.FallbackTerm;
import org.jspecify.annotations.Nullable;

/**
 * Dispatches jobs that need not be stored while no leader is heard, in an entry that the last
 * leader has chosen as a fallback dispatcher.
 *
 * <ol>
 *   <li>It engages when it has heard no leader for {@link FallbackTargets#ENGAGE_DELAY} and the
 *       last leader's directory names it.
 *   <li>It steps down when it hears a leader, and then gives all its jobs up to the leader.
 *   <li>It steps down after a pause of its process too, because messages of a leader may be
 *       waiting, and engages again once those have been handled.
 * </ol>
 *
 * @since 0.4
 */
public final class FallbackController implements Controller {
  /**
   * Last part of {@link FallbackTargets#ENGAGE_DELAY}, at whose beginning and end the process must
   * have run, so that messages of a leader that arrived during a pause are handled before it
   * engages.
   */
  private static final Duration CONFIRM_DELAY = Duration.ofMillis(50);

  /**
   * Maximum time between two turns of an engaged dispatcher. After a longer one the process may
   * have been paused.
   */
  private static final Duration MAX_TURN_GAP = FallbackTargets.ENGAGE_DELAY;

  /**
   * Time after the engagement in which jobs are taken although no agent has come yet. The agents
   * turn to a dispatcher at most one notice (200 ms) later than the entries, and ask it every 100
   * ms.
   */
  private static final Duration WORKER_WAIT = Duration.ofMillis(300);

  private final NodeId self;
  private final ScheduleSettings settings;
  private final LeaderTracker leaders = LeaderTracker.create();
  private @Nullable FallbackState state;
  private Instant stateAt = Instant.MIN;
  private @Nullable FallbackDirectory directory;
  private Instant heardAt = Instant.MIN;

  /** When the silence was first long enough to engage soon, or null. */
  private @Nullable Instant silentAt;

  private @Nullable FallbackTerm term;
  private Instant engagedAt = Instant.MIN;
  private Instant lastTurnAt = Instant.MIN;

  /**
   * Whether the dispatch was interrupted since a leader was last heard. The agents may have gone to
   * another dispatcher, and stay there.
   */
  private boolean interrupted;

  private long engagements;

  private FallbackController(NodeId self, ScheduleSettings settings) {
    this.self = self;
    this.settings = settings;
  }

  /**
   * Creates the controller of one entry, which has heard no leader.
   *
   * @param self the entry's node
   * @param settings the settings of the leader's scheduling, with fallback on
   */
  public static FallbackController create(NodeId self, ScheduleSettings settings) {
    return new FallbackController(self, settings);
  }

  /** Returns whether this entry dispatches jobs. */
  public boolean isEngaged() {
    return term != null;
  }

  @Override
  public List<Effect> on(Event event, Instant now) {
    List<Effect> effects = new ArrayList<>();
    if (event instanceof ClockLeaped c) {
      onPaused("clock_leaped", "leap=" + c.by(), now, effects);
      return effects;
    }
    stepDownAfterPause(now, effects);
    if (event instanceof Received r) {
      onReceived(r, now, effects);
    } else if (event instanceof PeerDisconnected p) {
      leaders.onDisconnect(p.peer());
      FallbackTerm t = term;
      if (t != null) {
        t.onDisconnected(p.peer(), now);
      }
    } else if (event instanceof Tick) {
      FallbackTerm t = term;
      if (t == null) {
        engageIfSilent(now, effects);
      } else {
        t.tick(now);
        refuseWithoutWorkers(t, now, effects);
      }
    }
    return effects;
  }

  /** Places tasks and sends orders for all events of the turn together. */
  @Override
  public List<Effect> endTurn(Instant now) {
    List<Effect> effects = new ArrayList<>();
    stepDownAfterPause(now, effects);
    FallbackTerm t = term;
    if (t != null) {
      effects.addAll(t.advance(now));
    }
    return effects;
  }

  @Override
  public Instant nextTickAt(Instant now) {
    if (term != null || silentAt != null) {
      return now;
    }
    return position() < 0
        ? Instant.MAX
        : heardAt.plus(FallbackTargets.ENGAGE_DELAY).minus(CONFIRM_DELAY);
  }

  private void onReceived(Received r, Instant now, List<Effect> effects) {
    if (r.message() instanceof LeaderNotice n) {
      leaders.onNotice(r.from(), n);
    } else if (r.message() instanceof FallbackState s) {
      onState(s, now);
    } else if (r.message() instanceof FallbackDirectory d) {
      onDirectory(d);
    }
    boolean ofLeader =
        r.message() instanceof FallbackState || r.message() instanceof FallbackDirectory;
    if (ofLeader || r.from().equals(leaders.leader())) {
      heardAt = now;
      silentAt = null;
      interrupted = false;
      stepDown("leader_heard", "leader=" + r.from() + " term=" + leaders.term(), now, effects);
    }
    if (r.message() instanceof AgentReport report) {
      FallbackTerm t = term;
      if (t != null) {
        t.onReport(r.from(), report, now);
        effects.addAll(t.takeEffects());
      }
    } else if (r.message() instanceof AwaitedJobs answer) {
      FallbackTerm t = term;
      if (t != null) {
        t.onAwaitedJobs(r.from(), answer, now);
      }
    } else if (r.message() instanceof LeaderRequest request) {
      onRequest(r.from(), request, now, effects);
    }
  }

  /**
   * Takes a state unless it is older than the known one, which this process may have acted on. The
   * states of one leader arrive in order.
   */
  private void onState(FallbackState s, Instant now) {
    FallbackState known = state;
    boolean outdated =
        known != null
            && (s.term() < known.term()
                || s.generation() < known.generation()
                || s.configuration().version() < known.configuration().version());
    if (!outdated) {
      state = s;
      stateAt = now;
    }
  }

  private void onDirectory(FallbackDirectory d) {
    FallbackDirectory known = directory;
    if (known == null || d.term() >= known.term()) {
      directory = d;
    }
  }

  private void onRequest(NodeId from, LeaderRequest request, Instant now, List<Effect> effects) {
    FallbackTerm t = term;
    FallbackState s = state;
    AnswerCode refusal = AnswerCode.NOT_LEADER;
    if (request instanceof AskJob) {
      refusal = AnswerCode.NO_LEADER;
    } else if (t != null && s != null && request instanceof CancelJob) {
      handle(t, from, request, now, effects);
      return;
    } else if (t != null && s != null && request instanceof FallbackSubmit f) {
      String outcome = "older_configuration";
      if (f.submission().job().durable()) {
        refusal = AnswerCode.NO_LEADER;
        outcome = "durable";
      } else if (!t.hasWorkers() && !mayAgentsCome(now)) {
        outcome = "no_workers";
      } else if (f.configurationVersion() <= s.configuration().version()) {
        handle(t, from, f, now, effects);
        return;
      }
      String inputs =
          "entry="
              + from
              + " version="
              + s.configuration().version()
              + " wanted="
              + f.configurationVersion();
      effects.add(Decision.of("fallback_job_refused", f.submission().job().id(), outcome, inputs));
    }
    effects.add(new Send(from, new LeaderReply(request.requestId(), RequestAnswer.of(refusal), 0)));
  }

  /**
   * Refuses the jobs that were taken in the expectation of agents when none has come: another
   * dispatcher may have them, or the leader that this process does not hear.
   */
  private void refuseWithoutWorkers(FallbackTerm t, Instant now, List<Effect> effects) {
    FallbackState s = state;
    if (s == null || t.waitingCallers() == 0 || t.hasHadWorkers() || mayAgentsCome(now)) {
      return;
    }
    String inputs = "jobs=" + t.waitingCallers() + " engaged=" + engagedAt;
    effects.add(Decision.of("fallback_jobs_returned", t.fence(), "no_workers", inputs));
    effects.addAll(t.refuseAll());
    // No run was ordered, so the same run numbers can be used.
    term = FallbackTerm.start(s, settings, Math.max(0, position()), engagements, now);
  }

  /**
   * Returns whether agents are expected that have not come yet. Without agents, jobs would wait
   * here until their callers give up, while another dispatcher has the agents.
   */
  private boolean mayAgentsCome(Instant now) {
    return !interrupted && now.isBefore(engagedAt.plus(WORKER_WAIT));
  }

  private static void handle(
      FallbackTerm t, NodeId from, LeaderRequest request, Instant now, List<Effect> effects) {
    t.onRequest(from, request, now);
    effects.addAll(t.takeEffects());
  }

  private void engageIfSilent(Instant now, List<Effect> effects) {
    FallbackState s = state;
    int position = position();
    Duration silence = Duration.between(heardAt, now);
    if (s == null
        || position < 0
        || silence.compareTo(FallbackTargets.ENGAGE_DELAY.minus(CONFIRM_DELAY)) < 0) {
      silentAt = null;
      return;
    }
    Instant since = silentAt;
    if (since == null || now.isAfter(since.plus(MAX_TURN_GAP))) {
      silentAt = now;
      return;
    }
    if (now.isBefore(since.plus(CONFIRM_DELAY))) {
      return;
    }
    silentAt = null;
    engagements++;
    engagedAt = now;
    lastTurnAt = now;
    FallbackTerm t = FallbackTerm.start(s, settings, position, engagements, now);
    term = t;
    String inputs =
        "term="
            + s.term()
            + " generation="
            + s.generation()
            + " version="
            + s.configuration().version()
            + " state_age="
            + Duration.between(stateAt, now)
            + " silence="
            + silence
            + " position="
            + position;
    effects.add(Decision.of("fallback_engaged", t.fence(), "begun", inputs));
  }

  /**
   * Returns the position of this entry among the dispatchers of its failure domain, or -1 if it
   * must not engage: the directory does not name it, it has no state, or its state is older than
   * the directory.
   */
  private int position() {
    FallbackDirectory d = directory;
    FallbackState s = state;
    if (d == null || s == null || s.configuration().version() < d.configurationVersion()) {
      return -1;
    }
    FallbackNode own =
        d.nodes().stream().filter(n -> n.node().equals(self)).findFirst().orElse(null);
    return own == null
        ? -1
        : d.nodes().stream().filter(n -> n.domain().equals(own.domain())).toList().indexOf(own);
  }

  private void stepDownAfterPause(Instant now, List<Effect> effects) {
    if (term != null && now.isAfter(lastTurnAt.plus(MAX_TURN_GAP))) {
      onPaused("paused", "gap=" + Duration.between(lastTurnAt, now), now, effects);
    }
    lastTurnAt = now;
  }

  /** Counts the time without a leader anew: messages of a leader may be waiting. */
  private void onPaused(String outcome, String inputs, Instant now, List<Effect> effects) {
    silentAt = null;
    heardAt = position() < 0 ? heardAt : now;
    interrupted |= term != null;
    stepDown(outcome, inputs, now, effects);
    lastTurnAt = now;
  }

  private void stepDown(String outcome, String inputs, Instant now, List<Effect> effects) {
    FallbackTerm t = term;
    if (t == null) {
      return;
    }
    term = null;
    int jobs = t.waitingCallers();
    effects.addAll(t.handOver());
    String more = " engaged_for=" + Duration.between(engagedAt, now) + " jobs=" + jobs;
    effects.add(Decision.of("fallback_stepped_down", t.fence(), outcome, inputs + more));
  }
}
