package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.ServiceName;
import org.cassiastack.queue.QueuedTaskId;
import org.cassiastack.queue.Resources;
import org.cassiastack.runs.ActiveRun;
import org.cassiastack.runs.AgentReport;
import org.cassiastack.runs.EndedRun;
import org.cassiastack.runs.MinionProfile;
import org.cassiastack.runs.RunId;
import org.cassiastack.schedule.ScheduleSettings;
import org.jspecify.annotations.Nullable;

/**
 * The workers, brought up to date by their agents' reports.
 *
 * <ol>
 *   <li>A run that the agent neither lists nor may still start, although it has the order, is gone.
 *   <li>A run that the leader did not order was ordered by an earlier one and is taken over.
 *   <li>When an agent falls silent, its runs are gone once every lease has run out.
 * </ol>
 */
final class Fleet {
  /** A worker that is silent for this long is gone for good, or comes back as a new one. */
  private static final Duration MEMORY = Duration.ofSeconds(30);

  private final ScheduleSettings settings;
  private final RunListener listener;
  private final Map<NodeId, WorkerState> workers = new LinkedHashMap<>();
  private final Map<ServiceName, Double> usualSpeeds = new HashMap<>();
  private long capacityIncreases;

  Fleet(ScheduleSettings settings, RunListener listener) {
    this.settings = settings;
    this.listener = listener;
  }

  Collection<WorkerState> workers() {
    return workers.values();
  }

  /** Returns how often a worker may have got room, or may have become usable, by a report. */
  long capacityIncreases() {
    return capacityIncreases;
  }

  /** Tells whether an agent obeys this leader, or holds no lease. */
  boolean isSynced(NodeId agent) {
    WorkerState w = workers.get(agent);
    return w != null && w.synced;
  }

  /**
   * Returns the median speed of the workers of a service, as of the last tick; 1 while none is
   * known.
   */
  double medianSpeed(ServiceName service) {
    return usualSpeeds.getOrDefault(service, 1.0);
  }

  private void findUsualSpeeds(Instant now) {
    Map<ServiceName, List<Double>> speeds = new HashMap<>();
    for (WorkerState w : workers.values()) {
      MinionProfile m = w.minion;
      if (m != null && w.synced) {
        speeds.computeIfAbsent(m.service(), s -> new ArrayList<>()).add(w.speed.current(now));
      }
    }
    usualSpeeds.clear();
    speeds.forEach((service, all) -> usualSpeeds.put(service, median(all)));
  }

  private static double median(List<Double> values) {
    values.sort(Comparator.naturalOrder());
    return values.get(values.size() / 2);
  }

  /** Returns the processors of the workers of a service, in thousandths of a core at speed 1. */
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

  /** Tells whether a worker of a service could ever hold a task, were it empty. */
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

  /** Takes a report; returns the worker, or null when the report is outdated. */
  @Nullable WorkerState applyReport(NodeId agent, AgentReport r, long fence, Instant now) {
    WorkerState w = workers.computeIfAbsent(agent, WorkerState::new);
    AgentReport last = w.report;
    if (last != null) {
      int order = r.incarnation().compareTo(last.incarnation());
      if (order < 0 || (order == 0 && !r.sentAt().isAfter(last.sentAt()))) {
        return null;
      }
      if (order > 0) {
        w.resetForNewAgent();
      }
    }
    expire(w, now);
    w.report = r;
    w.reportedAt = now;
    MinionProfile m = r.minion();
    if (m == null) {
      return w;
    }
    MinionProfile former = w.minion;
    int runs = w.runs.size();
    boolean wasKnown = w.synced;
    if (former != null && !former.life().equals(m.life())) {
      loseRuns(w, now);
      w.resetForNewMinion();
    }
    w.minion = m;
    w.leasedAt = now;
    if (r.fence() == fence && r.listsComplete()) {
      takeLists(w, r, now);
      w.synced = true;
    }
    boolean isOpened = w.runs.size() < runs || !wasKnown || !m.equals(former);
    capacityIncreases += isOpened ? 1 : 0;
    return w;
  }

  /** An agent that holds no lease has reported. */
  void recordUnleasedReport(NodeId agent, Instant now) {
    workers.computeIfAbsent(agent, WorkerState::new).reportedAt = now;
  }

  /** An agent holds no lease any more; its lists count again once it has reported under one. */
  void markUnsynced(NodeId agent) {
    WorkerState w = workers.get(agent);
    if (w != null) {
      w.synced = false;
    }
  }

  /**
   * Tells whether an agent runs nothing and will get no orders, since its minion is leaving: no
   * later leader has to wait for it.
   */
  boolean isDrained(NodeId agent, AgentReport r, long fence) {
    WorkerState w = workers.get(agent);
    MinionProfile m = r.minion();
    boolean leaving = m != null && m.draining();
    boolean obeys = r.fence() == fence && r.listsComplete();
    boolean empty = r.running().isEmpty() && r.unresolved().isEmpty() && r.ended().isEmpty();
    return w != null && leaving && obeys && empty && w.runs.isEmpty() && !w.hasUnprocessedOrders(r);
  }

  /** Tells whether a lease of an agent may still run; each counts from before its report came. */
  boolean mayHoldLease(NodeId agent, Instant now) {
    WorkerState w = workers.get(agent);
    return w != null && !now.isAfter(w.reportedAt.plus(settings.leaseExpiryTimeout()));
  }

  /** Gives up the runs of agents that have been silent for longer than any lease. */
  void tick(Instant now) {
    workers.values().forEach(w -> expire(w, now));
    workers.values().removeIf(w -> now.isAfter(w.reportedAt.plus(MEMORY)));
    findUsualSpeeds(now);
  }

  /** Gives up the runs of a job; they are stopped with the next tick. */
  void markRunsUnwanted(LiveJob job) {
    for (WorkerState w : workers.values()) {
      for (Run r : w.runs.values()) {
        LiveStep step = r.step;
        if (step != null && step.job == job) {
          r.step = null;
        }
      }
    }
  }

  /**
   * Hands a new job the runs of its tasks that are still there: an earlier leader has started them,
   * or the job was given up and has come again. None of these tasks may start beside them.
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

  private void expire(WorkerState w, Instant now) {
    if (!w.leasedAt.equals(Instant.MIN)
        && now.isAfter(w.leasedAt.plus(settings.leaseExpiryTimeout()))) {
      w.leasedAt = Instant.MIN;
      loseRuns(w, now);
    }
  }

  private void loseRuns(WorkerState w, Instant now) {
    for (RunId id : List.copyOf(w.runs.keySet())) {
      Run run = w.remove(id);
      if (run != null) {
        listener.runLost(w, run, now);
      }
    }
  }

  private void takeLists(WorkerState w, AgentReport r, Instant now) {
    Set<RunId> listed = new HashSet<>();
    List<EndedRun> ends = new ArrayList<>();
    for (ActiveRun x : r.running()) {
      listed.add(x.run());
      Run known = w.runs.get(x.run());
      if (known != null) {
        known.updateProgress(x.progressPercent(), now.minus(r.listAge()));
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
      listener.runEnded(w, w.remove(e.run()), e, now);
    }
    for (RunId id : listed) {
      if (!w.runs.containsKey(id)) {
        w.add(listener.runFound(w, id, now));
      }
    }
    for (Run run : List.copyOf(w.runs.values())) {
      if (!listed.contains(run.id) && run.orderNumber <= r.processedOrdersThrough()) {
        w.remove(run.id);
        listener.runLost(w, run, now);
      }
    }
  }
}
