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
 * The scheduling of one leader, from its election until it loses leadership.
 *
 * <ol>
 *   <li>{@link #onRequest} handles requests of callers and operators.
 *   <li>{@link #onReport} applies the agents' reports and renews their leases.
 *   <li>{@link #advance} places tasks, proposes changes of the ledger and returns the effects since
 *       the last call.
 * </ol>
 */
public final class LeaderTerm {
  private final long fence;
  private final JobLedger ledger;
  private final ScheduleSettings settings;
  private Instant startedAt;
  private final PendingCommits commits;
  private final LiveJobs liveJobs = new LiveJobs();
  private final RunEventHandler runEvents;
  private final Fleet fleet;
  private final Dispatcher dispatcher;

  /**
   * Agents whose addition to or removal from the ledger is not yet committed; these get no lease.
   */
  private final Set<NodeId> changingAgents = new HashSet<>();

  private final LeaderRequestHandler requestHandler;
  private List<Effect> effects = new ArrayList<>();

  /** End of the leadership lease. */
  private Instant leadershipUntil = Instant.MIN;

  /**
   * Whether the generation that this leader begins is committed to the ledger. The number of the
   * generation determines the numbers of the leader's runs.
   */
  private boolean generationCommitted;

  /** Whether this leader knows every run that may exist; once true, stays true. */
  private boolean agentsSynced;

  private LeaderTerm(
      long fence,
      JobLedger ledger,
      ScheduleSettings settings,
      LedgerCodec codec,
      Supplier<UUID> proposalIds,
      Instant now) {
    this.fence = fence;
    this.ledger = ledger;
    this.settings = settings;
    this.startedAt = now;
    this.commits = new PendingCommits(codec, proposalIds);
    Consumer<Decision> decisions = d -> effects.add(d);
    this.runEvents =
        new RunEventHandler(
            liveJobs,
            commits,
            decisions,
            this::jobEnded,
            id -> ledger.live(id) != null,
            this::medianSpeed);
    this.fleet = new Fleet(settings, runEvents);
    this.requestHandler =
        new LeaderRequestHandler(
            fence,
            ledger,
            liveJobs,
            fleet,
            commits,
            decisions,
            (to, reply) -> effects.add(new Send(to, reply)),
            () -> agentsSynced);
    this.dispatcher =
        new Dispatcher(
            liveJobs,
            fleet,
            ledger,
            decisions,
            FastestFit.withRemoteFactor(settings.remoteFactor()));
  }

  /** Starts a term with the live jobs of the ledger. */
  public static LeaderTerm start(
      long fence,
      JobLedger ledger,
      ScheduleSettings settings,
      LedgerCodec codec,
      Supplier<UUID> proposalIds,
      Instant now) {
    LeaderTerm t = new LeaderTerm(fence, ledger, settings, codec, proposalIds, now);
    String inputs = "jobs=" + ledger.live().size() + " agents=" + ledger.agents().size();
    t.addDecision("leadership_began", fence, "waiting_for_agents", inputs);
    for (LedgerJob j : ledger.live()) {
      t.restore(j, now);
    }
    t.commits.addNewGeneration(at -> t.generationCommitted = true);
    return t;
  }

  /** Restores a job. A job that cannot be restored stays in the ledger and is not run. */
  private void restore(LedgerJob job, Instant now) {
    try {
      liveJobs.restore(job, ledger.queueOf(job), now);
    } catch (RuntimeException e) {
      // An error in one job must not keep this member from leading the others.
      String inputs = "queue=" + job.queue() + " error=" + e.getClass().getSimpleName();
      addDecision("job_not_restored", job.job().id(), "failed", inputs);
    }
  }

  /** Returns the fence of this leader, which is higher than the fence of any earlier leader. */
  public long fence() {
    return fence;
  }

  /** Records that no other member can become leader before the given time. */
  public void onLeaseExtended(Instant until) {
    leadershipUntil = until.isAfter(leadershipUntil) ? until : leadershipUntil;
  }

  /**
   * Moves the times from which the leases of agents are counted: a leap of this process's clock
   * does not prove that they have run out. The leadership lease of this process is not moved.
   */
  public void onClockLeaped(Duration leap) {
    startedAt = startedAt.plus(leap);
    fleet.onClockLeaped(leap);
  }

  /** Returns whether the leadership lease is valid, so that no other member can be leader. */
  public boolean holdsLeadership(Instant now) {
    return now.isBefore(leadershipUntil);
  }

  /**
   * Calls the completions of the changes in a proposal that was committed and applied to the
   * ledger.
   */
  public void onCommitted(UUID proposalId, Instant now) {
    commits.onCommitted(proposalId, now);
  }

  /**
   * Performs the actions that depend on time: treats the runs of expired leases as lost, refuses
   * jobs that would end too late to be useful, abandons jobs whose callers have stopped waiting,
   * moves the tasks of stalled runs to other workers, orders stops of unwanted runs, sends orders
   * that reveal the loss of earlier orders, removes from the ledger the agents that have stopped
   * reporting, and reports the placement statistics.
   */
  public void tick(Instant now) {
    fleet.tick(now);
    liveJobs.ready.updateLateness(now);
    // A worker may have become usable by the passing of time alone.
    dispatcher.forceNextRound();
    requestHandler.tick(now);
    if (generationCommitted && holdsLeadership(now)) {
      dispatcher.moveStalledRuns(now);
    }
    for (WorkerState w : fleet.workers()) {
      runEvents.reportSlowness(w);
      runEvents.stopUnwantedRuns(w, now);
      dispatcher.probeLostOrders(w, fence, now, effects);
    }
    removeSilentAgents(now);
    effects.add(dispatcher.takeStats());
  }

  /**
   * Applies an agent's report and answers it with a lease. An agent gets a lease only while the
   * ledger contains it. When an agent that is not in the ledger reports, its addition is proposed,
   * unless the agent is drained.
   */
  public void onReport(NodeId agent, AgentReport report, Instant now) {
    if (report.fence() > fence || !holdsLeadership(now)) {
      return;
    }
    if (changingAgents.contains(agent)) {
      return;
    }
    if (!ledger.agents().contains(agent)) {
      if (!fleet.isDrained(agent, report, fence)) {
        changingAgents.add(agent);
        fleet.recordUnleasedReport(agent, now);
        commits.addAgent(agent, at -> changingAgents.remove(agent));
      }
      return;
    }
    WorkerState w = fleet.applyReport(agent, report, fence, now);
    if (w == null) {
      return;
    }
    if (fleet.isDrained(agent, report, fence)) {
      removeAgent(agent, "idle", "minion=" + report.minion());
      return;
    }
    MinionProfile m = w.minion;
    MinionIncarnation incarnation = m == null ? null : m.life();
    effects.add(
        new Send(
            agent,
            new AgentLease(
                fence, report.sentAt(), settings.lease(), incarnation, w.acknowledgedThrough())));
  }

  /**
   * Places waiting tasks, sends the workers' orders, proposes pending changes of the ledger, and
   * returns the effects since the last call.
   */
  public List<Effect> advance(Instant now) {
    if (generationCommitted && holdsLeadership(now) && areAgentsSynced(now)) {
      dispatcher.place(ledger.generation(), now);
    }
    for (WorkerState w : fleet.workers()) {
      dispatcher.sendOrders(w, fence, now, effects);
    }
    commits.propose(now, effects);
    return takeEffects();
  }

  /** Returns the effects since the last call of this method or of {@link #advance}. */
  public List<Effect> takeEffects() {
    List<Effect> collected = effects;
    effects = new ArrayList<>();
    return collected;
  }

  /**
   * Handles a request. A change of the ledger, such as the acceptance of a durable job, is answered
   * when it is committed, a job that is not durable when it has ended, and any other request or a
   * refused one at once.
   */
  public void onRequest(NodeId from, LeaderRequest request, Instant now) {
    requestHandler.handle(from, request, now);
  }

  private double medianSpeed(ServiceName service) {
    return fleet.medianSpeed(service);
  }

  private void jobEnded(LiveJob job, JobPhase phase, Instant now) {
    requestHandler.jobEnded(job, phase, now);
  }

  /**
   * Returns whether this leader knows every run that may exist: all agents of the ledger have
   * reported, or the leases that earlier leaders granted have expired. An agent that has reported
   * some of the ends of its minion is waited for in any case, because its lease has not expired.
   */
  private boolean areAgentsSynced(Instant now) {
    if (agentsSynced) {
      return true;
    }
    boolean leasesExpired = now.isAfter(startedAt.plus(settings.leaseExpiryTimeout()));
    agentsSynced =
        ledger.agents().stream()
            .allMatch(
                a -> fleet.isSynced(a) || (leasesExpired && !fleet.hasUnlistedEnds(a, fence)));
    if (agentsSynced) {
      addDecision("starts_allowed", fence, "begun", "after=" + Duration.between(startedAt, now));
    }
    return agentsSynced;
  }

  /**
   * Removes from the ledger the agents whose leases have expired, so that the next leader does not
   * wait for their reports.
   */
  private void removeSilentAgents(Instant now) {
    if (now.isBefore(startedAt.plus(settings.leaseExpiryTimeout()))) {
      return;
    }
    for (NodeId a : ledger.agents()) {
      if (!fleet.mayHoldLease(a, now) && !changingAgents.contains(a)) {
        removeAgent(a, "silent", "limit=" + settings.leaseExpiryTimeout());
      }
    }
  }

  private void removeAgent(NodeId agent, String outcome, String inputs) {
    addDecision("agent_forgotten", agent, outcome, inputs);
    changingAgents.add(agent);
    fleet.markUnsynced(agent);
    commits.removeAgent(agent, at -> changingAgents.remove(agent));
  }

  private void addDecision(String event, Object subject, String outcome, String inputs) {
    effects.add(Decision.of(event, subject, outcome, inputs));
  }
}
