package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.ServiceName;
import org.cassiastack.queue.QueuedTaskId;
import org.cassiastack.queue.Resources;
import org.cassiastack.runs.ActiveRun;
import org.cassiastack.runs.AgentReport;
import org.cassiastack.runs.EndedRun;
import org.cassiastack.runs.MinionProfile;
import org.cassiastack.runs.RunId;
import org.cassiastack.runs.RunOutcome;
import org.cassiastack.schedule.ScheduleSettings;
import org.jspecify.annotations.Nullable;

/**
 * The state of all workers, updated by their agents' reports.
 *
 * <ol>
 *   <li>A run is lost when the agent has processed its start order, but lists the run neither as
 *       running nor as unresolved, and its lists are complete.
 *   <li>A run that this leader did not order was ordered by an earlier leader and is taken over.
 *   <li>When an agent stops reporting, its runs count as lost once its lease has expired.
 * </ol>
 */
final class Fleet {
  /**
   * A worker whose agent has not reported for this long is removed; a later report adds it as new.
   */
  private static final Duration WORKER_RETENTION = Duration.ofSeconds(30);

  private final ScheduleSettings settings;
  private final RunListener listener;
  private final Map<NodeId, WorkerState> workers = new LinkedHashMap<>();
  private final MedianSpeeds medianSpeeds = new MedianSpeeds();
  private long capacityIncreases;

  Fleet(ScheduleSettings settings, RunListener listener) {
    this.settings = settings;
    this.listener = listener;
  }

  Collection<WorkerState> workers() {
    return workers.values();
  }

  /**
   * Returns the number of reports by which a worker may have gained free capacity or may have
   * become usable.
   */
  long capacityIncreases() {
    return capacityIncreases;
  }

  /** Returns whether any agent with a lease is synced. */
  boolean hasLeasedWorker() {
    return workers.values().stream().anyMatch(w -> w.synced && !w.leasedAt.equals(Instant.MIN));
  }

  /** Returns whether an agent has accepted this leader's fence and reported complete run lists. */
  boolean isSynced(NodeId agent) {
    WorkerState w = workers.get(agent);
    return w != null && w.synced;
  }

  /** Returns the oldest of the last run lists of some agents under this leader's fence. */
  OldestLists oldestLists(Collection<NodeId> agents) {
    OldestLists oldest = OldestLists.NONE;
    for (NodeId a : agents) {
      WorkerState w = workers.get(a);
      Instant at = w == null ? Instant.MIN : w.listsSince();
      if (at.isBefore(oldest.since())) {
        oldest = new OldestLists(at, a, w == null ? null : w.report);
      }
    }
    return oldest;
  }

  /**
   * Returns the median speed of the workers of a service, as of the last tick; 1 while none is
   * known.
   */
  double medianSpeed(ServiceName service) {
    return medianSpeeds.of(service);
  }

  /**
   * Returns the processor capacity of the usable workers of a service, in thousandths of a core at
   * speed 1.
   */
  double capacityMilliCpu(ServiceName service, Instant now) {
    double sum = 0;
    for (WorkerState w : workers.values()) {
      MinionProfile m = w.minion;
      if (m != null && m.service().equals(service) && w.isUsable(now)) {
        sum += m.capacity().milliCpu() * w.speed.current(now);
      }
    }
    return sum;
  }

  /**
   * Returns whether the total capacity of any worker of a service covers a need; true when no
   * worker of the service is known.
   */
  boolean canEverFit(ServiceName service, Resources need) {
    boolean any = false;
    for (WorkerState w : workers.values()) {
      MinionProfile m = w.minion;
      if (m != null && m.service().equals(service)) {
        any = true;
        if (m.capacity().covers(need)) {
          return true;
        }
      }
    }
    return !any;
  }

  /** Returns whether any worker can take tasks of a demand once it has enough free capacity. */
  boolean canServe(Demand demand, Predicate<FailureDomain> isOutOfService) {
    for (WorkerState w : workers.values()) {
      MinionProfile m = w.minion;
      if (m != null
          && m.service().equals(demand.service())
          && m.capacity().covers(demand.need())
          && demand.isLabelMetBy(m)
          && !isOutOfService.test(m.domain())) {
        return true;
      }
    }
    return false;
  }

  /** Applies a report and returns the worker, or null when the report is outdated. */
  @Nullable WorkerState applyReport(NodeId agent, AgentReport r, long fence, Instant now) {
    WorkerState w = workers.computeIfAbsent(agent, WorkerState::new);
    Duration silence = w.reportOrder.silence(now);
    ReportOrder.Verdict verdict = w.reportOrder.onReport(r, settings.leaseExpiryTimeout(), now);
    if (verdict == ReportOrder.Verdict.OUTDATED) {
      return null;
    }
    expireLease(w, now);
    if (verdict != ReportOrder.Verdict.NEXT) {
      listener.agentReplaced(w, r, verdict, silence);
      w.resetForNewAgent();
    }
    w.report = r;
    w.reportedAt = now;
    MinionProfile m = r.minion();
    if (m == null) {
      return w;
    }
    MinionProfile former = w.minion;
    int runCount = w.runs.size();
    boolean wasSynced = w.synced;
    if (former != null && !former.life().equals(m.life())) {
      beginIncarnation(w, now);
    }
    w.minion = m;
    w.leasedAt = now;
    if (r.fence() == fence) {
      w.continueOrderNumbers(r);
      applyLists(w, r, now);
      w.synced |= r.listsComplete();
      if (r.listsComplete()) {
        w.recordCompleteLists(r);
      }
    }
    w.updateSpeed(now);
    boolean mayHaveCapacity = w.runs.size() < runCount || !wasSynced || !m.equals(former);
    capacityIncreases += mayHaveCapacity ? 1 : 0;
    return w;
  }

  /**
   * Drops what was ordered for the former incarnation of a minion. Its runs count until complete
   * lists of the new one lack them: it may still carry out a start that it was sent before.
   */
  private void beginIncarnation(WorkerState w, Instant now) {
    for (RunId unsent : w.resetForNewMinion()) {
      Run run = w.remove(unsent);
      if (run != null) {
        listener.runLost(w, run, RunLoss.NEW_INCARNATION, now);
      }
    }
  }

  /**
   * Returns whether an agent obeys this leader, but has more ended runs than it has listed so far.
   */
  boolean hasUnlistedEnds(NodeId agent, long fence) {
    WorkerState w = workers.get(agent);
    AgentReport r = w == null ? null : w.report;
    return r != null && r.fence() == fence && !r.listsComplete() && !r.ended().isEmpty();
  }

  /** Records that an agent without a lease has reported. */
  void recordUnleasedReport(NodeId agent, Instant now) {
    workers.computeIfAbsent(agent, WorkerState::new).reportedAt = now;
  }

  /**
   * Records that an agent holds no lease any more. Its run lists count again once it has reported
   * under a new lease.
   */
  void markUnsynced(NodeId agent) {
    WorkerState w = workers.get(agent);
    if (w != null) {
      w.synced = false;
    }
  }

  /**
   * Returns whether an agent has no runs and will get no orders, because its minion is draining. A
   * later leader then need not wait for the agent.
   */
  boolean isDrained(NodeId agent, AgentReport r, long fence) {
    WorkerState w = workers.get(agent);
    MinionProfile m = r.minion();
    boolean draining = m != null && m.draining();
    boolean synced = r.fence() == fence && r.listsComplete();
    boolean empty = r.running().isEmpty() && r.unresolved().isEmpty() && r.ended().isEmpty();
    return w != null
        && draining
        && synced
        && empty
        && w.runs.isEmpty()
        && !w.hasUnprocessedOrders(r);
  }

  /**
   * Returns whether an agent has reported at or after a time. A lease counts from the sending of a
   * report, so it ends no later than the lease expiry timeout after the arrival of the report.
   */
  boolean hasReportedSince(NodeId agent, Instant since) {
    WorkerState w = workers.get(agent);
    return w != null && !w.reportedAt.isBefore(since);
  }

  /**
   * Treats the runs of agents whose lease has expired as lost, removes workers whose agents have
   * stopped reporting, and updates the median speeds.
   */
  void tick(Instant now) {
    workers.values().forEach(w -> expireLease(w, now));
    workers.values().removeIf(w -> now.isAfter(w.reportedAt.plus(WORKER_RETENTION)));
    workers.values().forEach(w -> w.updateSpeed(now));
    medianSpeeds.update(workers.values(), now);
  }

  /** Moves the times from which the leases of the agents are counted. */
  void onClockLeaped(Duration leap) {
    workers.values().forEach(w -> w.onClockLeaped(leap));
  }

  /**
   * Marks the runs of a job as unwanted; their stops are ordered at the next tick.
   *
   * @param leaseBasis confirmation that leases for the runs rest on, if the job's caller may send
   *     it again; null otherwise
   */
  void markRunsUnwanted(LiveJob job, @Nullable Instant leaseBasis) {
    for (WorkerState w : workers.values()) {
      for (Run r : w.runs.values()) {
        LiveStep step = r.step;
        if (step != null && step.job == job) {
          r.giveUp(leaseBasis);
        }
      }
    }
  }

  /**
   * Assigns to a new job the existing runs of its tasks: an earlier leader started them, or the job
   * was abandoned and submitted again. These tasks must not start a second time in parallel.
   */
  void claimRunsOf(LiveJob job) {
    for (WorkerState w : workers.values()) {
      for (Run r : List.copyOf(w.runs.values())) {
        QueuedTaskId task = r.id.task();
        if (r.step == null && task.job().equals(job.job.id()) && job.hasTask(task)) {
          claim(w, r, job.step(task));
        }
      }
    }
  }

  private static void claim(WorkerState w, Run run, LiveStep step) {
    int index = run.id.task().index();
    if (!step.isAssigned(index)) {
      step.adopt(index, run.id.number());
      w.remove(run.id);
      w.add(run.assignedTo(step));
    }
  }

  private void expireLease(WorkerState w, Instant now) {
    if (!w.leasedAt.equals(Instant.MIN)
        && now.isAfter(w.leasedAt.plus(settings.leaseExpiryTimeout()))) {
      w.leasedAt = Instant.MIN;
      loseRuns(w, RunLoss.LEASE_EXPIRED, now);
    }
  }

  private void loseRuns(WorkerState w, RunLoss loss, Instant now) {
    for (RunId id : List.copyOf(w.runs.keySet())) {
      Run run = w.remove(id);
      if (run != null) {
        listener.runLost(w, run, loss, now);
        takeOverOtherRun(run, now);
      }
    }
  }

  /**
   * Assigns to the task of a run that is gone another run of it that is still to be stopped, if
   * there is one. The task must not start a second time beside it.
   */
  private void takeOverOtherRun(Run gone, Instant now) {
    if (!listener.isTaskOpen(gone)) {
      return;
    }
    for (WorkerState w : workers.values()) {
      for (Run r : List.copyOf(w.runs.values())) {
        if (r.step == null && r.id.task().equals(gone.id.task())) {
          w.remove(r.id);
          w.add(listener.runFound(w, r.id, now));
        }
      }
    }
  }

  /**
   * Applies the ends and the runs that a report lists. Only complete lists tell that a run that
   * they do not contain is lost.
   */
  private void applyLists(WorkerState w, AgentReport r, Instant now) {
    Set<RunId> listed = new HashSet<>();
    List<EndedRun> ends = new ArrayList<>();
    for (ActiveRun active : r.running()) {
      listed.add(active.run());
      Run known = w.runs.get(active.run());
      if (known != null) {
        known.updateProgress(active.progressPercent(), now.minus(r.listAge()));
      }
    }
    listed.addAll(r.unresolved());
    for (EndedRun e : r.ended()) {
      if (e.sequence() > w.handledEndsThrough) {
        ends.add(e);
      }
      listed.remove(e.run());
    }
    for (EndedRun e : ends) {
      w.handledEndsThrough = Math.max(w.handledEndsThrough, e.sequence());
      Run ended = w.remove(e.run());
      listener.runEnded(w, ended, e, now);
      if (ended != null && e.outcome() != RunOutcome.DONE) {
        takeOverOtherRun(ended, now);
      }
    }
    for (RunId id : listed) {
      if (!w.runs.containsKey(id)) {
        w.add(listener.runFound(w, id, now));
      }
    }
    if (r.listsComplete()) {
      loseUnlistedRuns(w, listed, r.processedOrdersThrough(), now);
    }
  }

  private void loseUnlistedRuns(
      WorkerState w, Set<RunId> listed, long processedOrdersThrough, Instant now) {
    for (Run run : List.copyOf(w.runs.values())) {
      if (!listed.contains(run.id) && run.orderNumber <= processedOrdersThrough) {
        w.remove(run.id);
        listener.runLost(w, run, RunLoss.NOT_LISTED, now);
        takeOverOtherRun(run, now);
      }
    }
  }
}
