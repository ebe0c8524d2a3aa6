package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cassiastack.controller.Effect;
import org.cassiastack.decision.Decision;
import org.cassiastack.desk.LeaderRequest;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.ServiceName;
import org.cassiastack.protocol.Send;
import org.cassiastack.queue.JobLedger;
import org.cassiastack.queue.JobPhase;
import org.cassiastack.queue.LedgerCodec;
import org.cassiastack.queue.LedgerJob;
import org.cassiastack.runs.AgentLease;
import org.cassiastack.runs.AgentReport;
import org.cassiastack.runs.MinionLife;
import org.cassiastack.runs.MinionProfile;
import org.cassiastack.schedule.ScheduleSettings;

/**
 * The work of one leader from its election until it is no longer sure to lead.
 *
 * <ol>
 *   <li>{@link #requested} answers callers and operators, from the ledger where it can.
 *   <li>{@link #reported} takes the agents' reports and renews their leases.
 *   <li>{@link #turn} places tasks, proposes changes of the ledger and returns what is to be sent.
 * </ol>
 */
public final class DispatchTerm {
  private final long fence;
  private final JobLedger ledger;
  private final ScheduleSettings settings;
  private final Instant beganAt;
  private final PendingCommits commits;
  private final JobBoard board = new JobBoard();
  private final Runs runs;
  private final Fleet fleet;
  private final Dispatcher dispatcher;

  /** Agents that the ledger is about to add or to forget; they get no lease meanwhile. */
  private final Set<NodeId> changing = new HashSet<>();

  private final JobIntake intake;
  private List<Effect> effects = new ArrayList<>();
  private Instant sureUntil = Instant.MIN;
  private boolean begun;
  private boolean accounted;

  private DispatchTerm(
      long fence,
      JobLedger ledger,
      ScheduleSettings settings,
      LedgerCodec codec,
      Supplier<UUID> proposals,
      Instant now) {
    this.fence = fence;
    this.ledger = ledger;
    this.settings = settings;
    this.beganAt = now;
    this.commits = new PendingCommits(codec, proposals);
    Consumer<Decision> decisions = d -> effects.add(d);
    this.runs =
        new Runs(
            board,
            commits,
            decisions,
            this::jobEnded,
            id -> ledger.live(id) != null,
            this::usualSpeed);
    this.fleet = new Fleet(settings, runs);
    this.intake =
        new JobIntake(
            fence,
            ledger,
            board,
            fleet,
            commits,
            decisions,
            (to, m) -> effects.add(new Send(to, m)),
            () -> accounted);
    this.dispatcher = new Dispatcher(board, fleet, ledger, decisions);
  }

  /** Begins a term with the jobs that the ledger holds. */
  public static DispatchTerm begin(
      long fence,
      JobLedger ledger,
      ScheduleSettings settings,
      LedgerCodec codec,
      Supplier<UUID> proposals,
      Instant now) {
    DispatchTerm t = new DispatchTerm(fence, ledger, settings, codec, proposals, now);
    String inputs = "jobs=" + ledger.live().size() + " agents=" + ledger.agents().size();
    t.decide("leadership_began", fence, "waiting_for_agents", inputs);
    for (LedgerJob j : ledger.live()) {
      t.board.restore(j, ledger.queueOf(j), now);
    }
    t.commits.newGeneration(at -> t.begun = true);
    return t;
  }

  /** Returns the fence of this leader, which is higher than that of any leader before. */
  public long fence() {
    return fence;
  }

  /** Takes note that nobody else can lead before a time. */
  public void extended(Instant until) {
    sureUntil = until.isAfter(sureUntil) ? until : sureUntil;
  }

  /** Tells whether nobody else can lead now. */
  public boolean isSure(Instant now) {
    return now.isBefore(sureUntil);
  }

  /** Takes note that a proposal is committed, and applied to the ledger. */
  public void committed(UUID proposal, Instant now) {
    commits.committed(proposal, now);
  }

  /** Lets time pass. */
  public void tick(Instant now) {
    fleet.tick(now);
    board.ready.age(now);
    dispatcher.reconsider();
    intake.tick(now);
    if (begun && isSure(now)) {
      dispatcher.moveStalledRuns(now);
    }
    for (WorkerState w : fleet.workers()) {
      runs.stopAgain(w, now);
      dispatcher.probe(w, fence, now, effects);
    }
    forgetAgents(now);
    effects.add(dispatcher.work());
  }

  /** Takes a report and answers it with a lease. */
  public void reported(NodeId agent, AgentReport r, Instant now) {
    if (r.fence() > fence || !isSure(now)) {
      return;
    }
    if (changing.contains(agent)) {
      return;
    }
    if (!ledger.agents().contains(agent)) {
      if (!fleet.needsNoLease(agent, r, fence)) {
        changing.add(agent);
        fleet.joins(agent, now);
        commits.agent(agent, at -> changing.remove(agent));
      }
      return;
    }
    WorkerState w = fleet.reported(agent, r, fence, now);
    if (w == null) {
      return;
    }
    if (fleet.needsNoLease(agent, r, fence)) {
      forget(agent, "idle", "minion=" + r.minion());
      return;
    }
    MinionProfile m = w.minion;
    MinionLife life = m == null ? null : m.life();
    effects.add(
        new Send(
            agent,
            new AgentLease(fence, r.sentAt(), settings.lease(), life, w.acknowledgedThrough())));
  }

  /** Places what can be placed, proposes what has gathered, and returns what is to be done. */
  public List<Effect> turn(Instant now) {
    if (begun && isSure(now) && isAccounted(now)) {
      dispatcher.place(ledger.generation(), now);
    }
    for (WorkerState w : fleet.workers()) {
      dispatcher.send(w, fence, now, effects);
    }
    commits.propose(now, effects);
    List<Effect> all = effects;
    effects = new ArrayList<>();
    return all;
  }

  /** Answers a request, at once or when it is committed. */
  public void requested(NodeId from, LeaderRequest request, Instant now) {
    intake.requested(from, request, now);
  }

  private double usualSpeed(ServiceName service) {
    return fleet.usualSpeed(service);
  }

  private void jobEnded(LiveJob job, JobPhase phase, Instant now) {
    intake.ended(job, phase, now);
  }

  /** Tells whether no run can exist that this leader does not know of. */
  private boolean isAccounted(Instant now) {
    if (accounted) {
      return true;
    }
    accounted =
        now.isAfter(beganAt.plus(settings.lapse()))
            || ledger.agents().stream().allMatch(fleet::isAccountedFor);
    if (accounted) {
      decide("starts_allowed", fence, "begun", "after=" + Duration.between(beganAt, now));
    }
    return accounted;
  }

  /**
   * Takes agents out of the ledger whose leases have surely run out, so that the next leader does
   * not wait for them.
   */
  private void forgetAgents(Instant now) {
    if (now.isBefore(beganAt.plus(settings.lapse()))) {
      return;
    }
    for (NodeId a : ledger.agents()) {
      if (!fleet.mayHoldLease(a, now) && !changing.contains(a)) {
        forget(a, "silent", "limit=" + settings.lapse());
      }
    }
  }

  private void forget(NodeId agent, String outcome, String inputs) {
    decide("agent_forgotten", agent, outcome, inputs);
    changing.add(agent);
    fleet.leaves(agent);
    commits.forget(agent, at -> changing.remove(agent));
  }

  private void decide(String event, Object subject, String outcome, String inputs) {
    effects.add(Decision.of(event, subject, outcome, inputs));
  }
}
