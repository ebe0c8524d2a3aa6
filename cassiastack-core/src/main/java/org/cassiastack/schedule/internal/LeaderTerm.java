package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.function.Supplier;
import org.cassiastack.consensus.HandLeadershipOver;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Raise;
import org.cassiastack.model.NodeId;
import org.cassiastack.queue.JobLedger;
import org.cassiastack.queue.LedgerCodec;
import org.cassiastack.queue.LedgerJob;
import org.cassiastack.request.AwaitedJobs;
import org.cassiastack.request.LeaderRequest;
import org.cassiastack.runs.AgentReport;
import org.cassiastack.runs.Fences;
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
  /**
   * Time for which a new leader does not stop runs of jobs that it does not know: the entries send
   * it these jobs first.
   */
  private static final Duration UNKNOWN_RUN_GRACE = Duration.ofMillis(300);

  /** Minimum time between two attempts to hand the leadership over. */
  private static final Duration HAND_OVER_INTERVAL = Duration.ofMillis(500);

  /**
   * Time without reports after which an agent is removed from the ledger where fallback dispatchers
   * are in use. Until then an agent that is held by one is waited for by the leaders that get the
   * jobs of the dispatcher.
   */
  private static final Duration FALLBACK_SILENCE_LIMIT = Duration.ofSeconds(30);

  /** Minimum time between two ticks after which this process counts as paused. */
  private static final Duration PAUSE = Duration.ofMillis(450);

  private final long term;
  private final long fence;
  private final JobLedger ledger;
  private final ScheduleSettings settings;
  private Instant startedAt;
  private final PendingCommits commits;
  private final JobDispatch dispatch;

  /**
   * Agents whose addition to or removal from the ledger is not yet committed; these get no lease.
   */
  private final Set<NodeId> changingAgents = new HashSet<>();

  /** End of the leadership lease. */
  private Instant leadershipUntil = Instant.MIN;

  /**
   * Whether the generation that this leader begins is committed to the ledger. The number of the
   * generation determines the numbers of the leader's runs.
   */
  private boolean generationCommitted;

  /** Whether this leader knows every run that may exist; once true, stays true. */
  private boolean agentsSynced;

  /** When this process last began to hear the agents: at the start, or after a pause. */
  private Instant hearsAgentsSince;

  private Instant lastTickAt;
  private Instant nextHandOverAt = Instant.MIN;

  private LeaderTerm(
      long term,
      JobLedger ledger,
      ScheduleSettings settings,
      LedgerCodec codec,
      Supplier<UUID> proposalIds,
      Instant now) {
    this.term = term;
    this.fence = settings.fallback() ? Fences.ofLeader(term) : term;
    this.ledger = ledger;
    this.settings = settings;
    this.startedAt = now;
    this.hearsAgentsSince = now;
    this.lastTickAt = now;
    this.commits = new PendingCommits(codec, proposalIds);
    this.dispatch = new JobDispatch(fence, term, ledger, settings, commits, () -> agentsSynced);
  }

  /** Starts a term with the live jobs of the ledger. */
  public static LeaderTerm start(
      long term,
      JobLedger ledger,
      ScheduleSettings settings,
      LedgerCodec codec,
      Supplier<UUID> proposalIds,
      Instant now) {
    LeaderTerm t = new LeaderTerm(term, ledger, settings, codec, proposalIds, now);
    String inputs = "jobs=" + ledger.live().size() + " agents=" + ledger.agents().size();
    t.dispatch.addDecision("leadership_began", t.fence, "waiting_for_agents", inputs);
    for (LedgerJob j : ledger.live()) {
      t.restore(j, now);
    }
    t.commits.addNewGeneration(at -> t.generationCommitted = true);
    return t;
  }

  /** Restores a job. A job that cannot be restored stays in the ledger and is not run. */
  private void restore(LedgerJob job, Instant now) {
    try {
      dispatch.liveJobs.restore(job, ledger.queueOf(job), this::holdIfEarly, now);
    } catch (RuntimeException e) {
      // An error in one job must not keep this member from leading the others.
      String inputs = "queue=" + job.queue() + " error=" + e.getClass().getSimpleName();
      dispatch.addDecision("job_not_restored", job.job().id(), "failed", inputs);
    }
  }

  private void holdIfEarly(LiveJob job) {
    if (settings.fallback()) {
      dispatch.held.addRestored(job);
    }
  }

  /** Returns the term of this leader. */
  public long term() {
    return term;
  }

  /** Returns whether the generation that this leader begins is committed. */
  public boolean isGenerationCommitted() {
    return generationCommitted;
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
    dispatch.fleet.onClockLeaped(leap);
    dispatch.held.onClockLeaped(leap);
    dispatch.liveJobs.all().forEach(j -> j.onClockLeaped(leap));
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
   *
   * @param forgetsSilentAgents whether agents that have stopped reporting are removed from the
   *     ledger; a fallback dispatcher may hold them otherwise
   */
  public void tick(boolean forgetsSilentAgents, Instant now) {
    boolean stopsUnknownRuns =
        !settings.fallback() || !now.isBefore(startedAt.plus(UNKNOWN_RUN_GRACE));
    dispatch.tick(generationCommitted && holdsLeadership(now), stopsUnknownRuns, now);
    hearsAgentsSince = now.isAfter(lastTickAt.plus(PAUSE)) ? now : hearsAgentsSince;
    lastTickAt = now;
    if (forgetsSilentAgents) {
      removeSilentAgents(now);
    } else {
      // The agents of an entry that was lost may be back after the entry.
      hearsAgentsSince = now;
    }
  }

  /** Asks the entries that submit jobs, and others, which callers wait, if that is due. */
  public void probeCallers(Collection<NodeId> others, Instant now) {
    dispatch.probeCallers(others, now);
  }

  /** Handles the answer of an entry to a probe. */
  public void onAwaitedJobs(NodeId entry, AwaitedJobs answer, Instant now) {
    dispatch.onAwaitedJobs(entry, answer, now);
  }

  /** Handles the loss of the connection to a process, whose jobs are kept while confirmed. */
  public void onDisconnected(NodeId peer) {
    dispatch.onDisconnected(peer);
  }

  /**
   * Applies an agent's report and answers it with a lease. An agent gets a lease only while the
   * ledger contains it. When an agent that is not in the ledger reports, its addition is proposed,
   * unless the agent is drained.
   */
  public void onReport(NodeId agent, AgentReport report, Instant now) {
    if (!holdsLeadership(now)) {
      return;
    }
    if (report.fence() > fence) {
      handOver(agent, report, now);
      return;
    }
    if (changingAgents.contains(agent)) {
      return;
    }
    if (!ledger.agents().contains(agent)) {
      if (!dispatch.fleet.isDrained(agent, report, fence)) {
        changingAgents.add(agent);
        dispatch.fleet.recordUnleasedReport(agent, now);
        commits.addAgent(agent, at -> changingAgents.remove(agent));
      }
      return;
    }
    WorkerState w = dispatch.fleet.applyReport(agent, report, fence, now);
    if (w == null) {
      return;
    }
    if (dispatch.fleet.isDrained(agent, report, fence)) {
      removeAgent(agent, "idle", "minion=" + report.minion());
      return;
    }
    dispatch.grantLease(agent, w, report, now);
  }

  /**
   * Hands the leadership over when an agent has obeyed a higher fence: the next leader has a fence
   * above those of all fallback dispatchers, so that the agent obeys it.
   */
  private void handOver(NodeId agent, AgentReport report, Instant now) {
    if (!settings.fallback() || now.isBefore(nextHandOverAt)) {
      return;
    }
    nextHandOverAt = now.plus(HAND_OVER_INTERVAL);
    String inputs = "agent=" + agent + " fence=" + report.fence() + " own=" + fence;
    dispatch.addDecision("higher_fence_seen", fence, "handing_over", inputs);
    dispatch.addEffect(new Raise(new HandLeadershipOver()));
  }

  /**
   * Places waiting tasks, sends the workers' orders, proposes pending changes of the ledger, and
   * returns the effects since the last call.
   */
  public List<Effect> advance(Instant now) {
    if (generationCommitted && holdsLeadership(now)) {
      boolean synced = areAgentsSynced(now);
      if (!dispatch.held.isEmpty()) {
        OldestLists lists = dispatch.fleet.oldestLists(ledger.agents());
        dispatch.release(dispatch.held.takeReleased(synced, lists, now));
      }
      if (synced || settings.fallback()) {
        dispatch.place(RunNumbers.firstOfLeader(ledger.generation()), now);
      }
    }
    dispatch.sendOrders(now);
    if (holdsLeadership(now)) {
      dispatch.requestLists(now);
    }
    List<Effect> collected = dispatch.takeEffects();
    commits.propose(now, collected);
    return collected;
  }

  /** Returns the effects since the last call of this method or of {@link #advance}. */
  public List<Effect> takeEffects() {
    return dispatch.takeEffects();
  }

  /**
   * Handles a request. A change of the ledger, such as the acceptance of a durable job, is answered
   * when it is committed, a job that is not durable when it has ended, and any other request or a
   * refused one at once.
   */
  public void onRequest(NodeId from, LeaderRequest request, Instant now) {
    dispatch.onRequest(from, request, now);
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
                a ->
                    dispatch.fleet.isSynced(a)
                        || (leasesExpired && !dispatch.fleet.hasUnlistedEnds(a, fence)));
    if (agentsSynced) {
      dispatch.addDecision(
          "starts_allowed", fence, "begun", "after=" + Duration.between(startedAt, now));
    }
    return agentsSynced;
  }

  /**
   * Removes from the ledger the agents whose leases have expired, so that the next leader does not
   * wait for their reports.
   */
  private void removeSilentAgents(Instant now) {
    Duration limit = settings.leaseExpiryTimeout();
    Instant since = startedAt;
    if (settings.fallback()) {
      limit = FALLBACK_SILENCE_LIMIT;
      since = hearsAgentsSince;
    }
    if (now.isBefore(since.plus(limit))) {
      return;
    }
    for (NodeId a : ledger.agents()) {
      if (!dispatch.fleet.hasReportedSince(a, now.minus(limit)) && !changingAgents.contains(a)) {
        removeAgent(a, "silent", "limit=" + limit);
      }
    }
  }

  private void removeAgent(NodeId agent, String outcome, String inputs) {
    dispatch.addDecision("agent_forgotten", agent, outcome, inputs);
    changingAgents.add(agent);
    dispatch.fleet.markUnsynced(agent);
    commits.removeAgent(agent, at -> changingAgents.remove(agent));
  }
}
