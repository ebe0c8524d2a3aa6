package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.cassiastack.controller.Effect;
import org.cassiastack.fallback.FallbackState;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.Send;
import org.cassiastack.queue.JobLedger;
import org.cassiastack.queue.LedgerSnapshot;
import org.cassiastack.request.AnswerCode;
import org.cassiastack.request.AwaitedJobs;
import org.cassiastack.request.LeaderRequest;
import org.cassiastack.runs.AgentLease;
import org.cassiastack.runs.AgentReport;
import org.cassiastack.runs.Fences;
import org.cassiastack.runs.RunOrders;
import org.cassiastack.schedule.ScheduleSettings;

/**
 * The dispatch of one fallback dispatcher, from its engagement until it steps down: as that of a
 * leader, but by the state that the last leader sent, and without a replicated log.
 *
 * <p>It takes jobs that were sent to no other dispatcher, so that it need not wait for the reports
 * of agents that it does not know.
 */
public final class FallbackTerm {
  private final long fence;
  private final long firstRun;
  private final JobDispatch dispatch;
  private final EngagementOrders orders;
  private Instant capacityKnownAt;
  private Instant lastTurnAt;

  private FallbackTerm(FallbackState state, ScheduleSettings settings, long firstRun, Instant now) {
    this.fence = Fences.ofFallback(state.term());
    this.firstRun = firstRun;
    this.capacityKnownAt = now.plus(settings.leaseExpiryTimeout());
    this.lastTurnAt = now;
    this.orders = EngagementOrders.from(fence, now);
    JobLedger ledger = JobLedger.create(Duration.ZERO);
    ledger.restore(
        new LedgerSnapshot(
            now,
            state.generation(),
            state.configuration(),
            List.of(),
            state.domainsOut(),
            List.of(),
            List.of(),
            List.of()));
    this.dispatch =
        new JobDispatch(
            fence,
            0,
            ledger,
            settings,
            new NoLedgerChanges(),
            () -> !lastTurnAt.isBefore(capacityKnownAt));
  }

  /**
   * Starts a dispatch without jobs and workers.
   *
   * @param state state of the last leader
   * @param position position of this dispatcher among those of its failure domain, from 0
   * @param engagement number of the engagement of this dispatcher, from 1
   */
  public static FallbackTerm start(
      FallbackState state, ScheduleSettings settings, int position, long engagement, Instant now) {
    long firstRun = RunNumbers.firstOfFallback(state.generation(), position, engagement);
    return new FallbackTerm(state, settings, firstRun, now);
  }

  /** Returns the fence of the leases and orders. */
  public long fence() {
    return fence;
  }

  /** Handles a request about a job that is not durable. */
  public void onRequest(NodeId from, LeaderRequest request, Instant now) {
    lastTurnAt = now;
    dispatch.onRequest(from, request, now);
  }

  /**
   * Applies an agent's report and answers it with a lease. An agent that has obeyed a higher fence
   * has a newer holder. An agent that has obeyed no leader gets no lease, because the next leader
   * may not know that it has to wait for its report. One that may act on orders of a former
   * engagement is asked to confirm first that it does not.
   */
  public void onReport(NodeId agent, AgentReport report, Instant now) {
    lastTurnAt = now;
    if (report.fence() > fence || report.fence() == 0) {
      return;
    }
    if (!orders.isConfirmed(agent, report)) {
      orders.answerUnconfirmed(agent, report).forEach(dispatch::addEffect);
      return;
    }
    AgentReport own = orders.withOwnNumber(agent, report);
    WorkerState w = dispatch.fleet.applyReport(agent, own, fence, now);
    if (w != null) {
      dispatch.grantLease(agent, w, own, now);
    }
  }

  /** Stops the jobs of a process to which the connection was lost. */
  public void onDisconnected(NodeId peer, Instant now) {
    dispatch.giveUpAllOf(peer, now);
    dispatch.onDisconnected(peer);
  }

  /** Handles the answer of an entry to a probe. */
  public void onAwaitedJobs(NodeId entry, AwaitedJobs answer, Instant now) {
    lastTurnAt = now;
    dispatch.onAwaitedJobs(entry, answer, now);
  }

  /** Moves the times from which the leases of agents are counted. */
  public void onClockLeaped(Duration leap) {
    capacityKnownAt = capacityKnownAt.plus(leap);
    dispatch.fleet.onClockLeaped(leap);
    dispatch.held.onClockLeaped(leap);
  }

  /** Performs the actions that depend on time. */
  public void tick(Instant now) {
    lastTurnAt = now;
    dispatch.tick(true, true, now);
    dispatch.probeCallers(List.of(), now);
  }

  /** Places waiting tasks and returns the effects since the last call. */
  public List<Effect> advance(Instant now) {
    lastTurnAt = now;
    if (!dispatch.held.isEmpty()) {
      // The only jobs that are held are those that this dispatcher has stopped itself; it knows
      // their runs.
      dispatch.release(dispatch.held.takeReleased(true, OldestLists.NONE, now));
    }
    dispatch.place(firstRun, now);
    dispatch.sendOrders(now);
    return takeEffects();
  }

  /** Returns the effects since the last call of this method or of {@link #advance}. */
  public List<Effect> takeEffects() {
    return orders.numbered(dispatch.takeEffects());
  }

  /** Returns whether an agent has ever reported to this dispatcher and got a lease. */
  public boolean hasHadWorkers() {
    return !dispatch.fleet.workers().isEmpty();
  }

  /** Returns whether an agent holds a lease of this dispatcher and has listed its runs. */
  public boolean hasWorkers() {
    return dispatch.fleet.hasLeasedWorker();
  }

  /** Returns the number of callers that wait for the end of their job. */
  public int waitingCallers() {
    return dispatch.waitingCallers();
  }

  /**
   * Gives all jobs up to the leader and returns the last effects: answers and decisions, but no
   * leases and orders, to which this dispatcher may not be entitled any more.
   */
  public List<Effect> handOver() {
    dispatch.requests.giveUp(AnswerCode.HANDED_OVER);
    return takeEffects().stream().filter(e -> !isLeaseOrOrder(e)).toList();
  }

  /**
   * Returns the answers that no job has been taken. Only a dispatch to which no agent ever came may
   * give them, and it is not used any more afterwards.
   */
  public List<Effect> refuseAll() {
    dispatch.requests.giveUp(AnswerCode.NOT_LEADER);
    return takeEffects();
  }

  private static boolean isLeaseOrOrder(Effect e) {
    return e instanceof Send s
        && (s.message() instanceof AgentLease || s.message() instanceof RunOrders);
  }
}
