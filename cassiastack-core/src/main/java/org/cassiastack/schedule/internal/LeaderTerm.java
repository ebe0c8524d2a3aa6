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
import org.cassiastack.model.NodeId;
import org.cassiastack.model.ServiceName;
import org.cassiastack.protocol.Send;
import org.cassiastack.queue.JobLedger;
import org.cassiastack.queue.JobPhase;
import org.cassiastack.queue.LedgerCodec;
import org.cassiastack.queue.LedgerJob;
import org.cassiastack.request.LeaderRequest;
import org.cassiastack.runs.AgentLease;
import org.cassiastack.runs.AgentReport;
import org.cassiastack.runs.MinionIncarnation;
import org.cassiastack.runs.MinionProfile;
import org.cassiastack.schedule.ScheduleSettings;

/**
 * The work of one leader from its election until it is no longer sure to lead.
 *
 * <ol>
 *   <li>{@link #onRequest} answers callers and operators, from the ledger where it can.
 *   <li>{@link #onReport} takes the agents' reports and renews their leases.
 *   <li>{@link #advance} places tasks, proposes changes of the ledger and returns what is to be
 *       sent.
 * </ol>
 */
public final class LeaderTerm {
  private final long fence;
  private final JobLedger ledger;
  private final ScheduleSettings settings;
  private final Instant beganAt;
  private final PendingCommits commits;
  private final LiveJobs board = new LiveJobs();
  private final RunEventHandler runs;
  private final Fleet fleet;
  private final Dispatcher dispatcher;

  /** Agents that the ledger is about to add or to forget; they get no lease meanwhile. */
  private final Set<NodeId> changing = new HashSet<>();

  private final LeaderRequestHandler intake;
  private List<Effect> effects = new ArrayList<>();
  private Instant sureUntil = Instant.MIN;
  private boolean begun;
  private boolean accounted;

  private LeaderTerm(
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
        new RunEventHandler(
            board,
            commits,
            decisions,
            this::jobEnded,
            id -> ledger.live(id) != null,
            this::usualSpeed);
    this.fleet = new Fleet(settings, runs);
    this.intake =
        new LeaderRequestHandler(
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
  public static LeaderTerm start(
      long fence,
      JobLedger ledger,
      ScheduleSettings settings,
      LedgerCodec codec,
      Supplier<UUID> proposals,
      Instant now) {
    LeaderTerm t = new LeaderTerm(fence, ledger, settings, codec, proposals, now);
    String inputs = "jobs=" + ledger.live().size() + " agents=" + ledger.agents().size();
    t.decide("leadership_began", fence, "waiting_for_agents", inputs);
    for (LedgerJob j : ledger.live()) {
      t.board.restore(j, ledger.queueOf(j), now);
    }
    t.commits.addNewGeneration(at -> t.begun = true);
    return t;
  }

  /** Returns the fence of this leader, which is higher than that of any leader before. */
  public long fence() {
    return fence;
  }

  /** Takes note that nobody else can lead before a time. */
  public void onLeaseExtended(Instant until) {
    sureUntil = until.isAfter(sureUntil) ? until : sureUntil;
  }

  /** Tells whether nobody else can lead now. */
  public boolean holdsLeadership(Instant now) {
    return now.isBefore(sureUntil);
  }

  /** Takes note that a proposal is committed, and applied to the ledger. */
  public void onCommitted(UUID proposal, Instant now) {
    commits.onCommitted(proposal, now);
  }

  /** Lets time pass. */
  public void tick(Instant now) {
    fleet.tick(now);
    board.ready.updateLateness(now);
    dispatcher.forceNextRound();
    intake.tick(now);
    if (begun && holdsLeadership(now)) {
      dispatcher.moveStalledRuns(now);
    }
    for (WorkerState w : fleet.workers()) {
      runs.stopUnwantedRuns(w, now);
      dispatcher.probeLostOrders(w, fence, now, effects);
    }
    forgetAgents(now);
    effects.add(dispatcher.takeStats());
  }

  /** Takes a report and answers it with a lease. */
  public void onReport(NodeId agent, AgentReport r, Instant now) {
    if (r.fence() > fence || !holdsLeadership(now)) {
      return;
    }
    if (changing.contains(agent)) {
      return;
    }
    if (!ledger.agents().contains(agent)) {
      if (!fleet.isDrained(agent, r, fence)) {
        changing.add(agent);
        fleet.recordUnleasedReport(agent, now);
        commits.addAgent(agent, at -> changing.remove(agent));
      }
      return;
    }
    WorkerState w = fleet.applyReport(agent, r, fence, now);
    if (w == null) {
      return;
    }
    if (fleet.isDrained(agent, r, fence)) {
      forget(agent, "idle", "minion=" + r.minion());
      return;
    }
    MinionProfile m = w.minion;
    MinionIncarnation life = m == null ? null : m.life();
    effects.add(
        new Send(
            agent,
            new AgentLease(fence, r.sentAt(), settings.lease(), life, w.acknowledgedThrough())));
  }

  /** Places what can be placed, proposes what has gathered, and returns what is to be done. */
  public List<Effect> advance(Instant now) {
    if (begun && holdsLeadership(now) && isAccounted(now)) {
      dispatcher.place(ledger.generation(), now);
    }
    for (WorkerState w : fleet.workers()) {
      dispatcher.sendOrders(w, fence, now, effects);
    }
    commits.propose(now, effects);
    List<Effect> all = effects;
    effects = new ArrayList<>();
    return all;
  }

  /** Answers a request, at once or when it is committed. */
  public void onRequest(NodeId from, LeaderRequest request, Instant now) {
    intake.handle(from, request, now);
  }

  private double usualSpeed(ServiceName service) {
    return fleet.medianSpeed(service);
  }

  private void jobEnded(LiveJob job, JobPhase phase, Instant now) {
    intake.jobEnded(job, phase, now);
  }

  /** Tells whether no run can exist that this leader does not know of. */
  private boolean isAccounted(Instant now) {
    if (accounted) {
      return true;
    }
    accounted =
        now.isAfter(beganAt.plus(settings.leaseExpiryTimeout()))
            || ledger.agents().stream().allMatch(fleet::isSynced);
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
    if (now.isBefore(beganAt.plus(settings.leaseExpiryTimeout()))) {
      return;
    }
    for (NodeId a : ledger.agents()) {
      if (!fleet.mayHoldLease(a, now) && !changing.contains(a)) {
        forget(a, "silent", "limit=" + settings.leaseExpiryTimeout());
      }
    }
  }

  private void forget(NodeId agent, String outcome, String inputs) {
    decide("agent_forgotten", agent, outcome, inputs);
    changing.add(agent);
    fleet.markUnsynced(agent);
    commits.removeAgent(agent, at -> changing.remove(agent));
  }

  private void decide(String event, Object subject, String outcome, String inputs) {
    effects.add(Decision.of(event, subject, outcome, inputs));
  }
}
