package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.NodeId;
import org.cassiastack.queue.Resources;
import org.cassiastack.routing.MinionHealth;
import org.cassiastack.runs.AgentReport;
import org.cassiastack.runs.MinionIncarnation;
import org.cassiastack.runs.MinionProfile;
import org.cassiastack.runs.RunId;
import org.cassiastack.runs.RunOrders;
import org.cassiastack.runs.StartOrder;
import org.jspecify.annotations.Nullable;

/** One worker with its agent and minion, as the leader sees it. */
final class WorkerState {
  /** Agents report five times a second; two reports missed make a worker doubtful. */
  private static final Duration DOUBT = Duration.ofMillis(500);

  /** The past of a worker counts as much as this long at work of its present runs. */
  private static final Duration PAST_WEIGHT = Duration.ofMillis(300);

  final NodeId agent;
  final MinionHealth health = new MinionHealth();
  final WorkerSpeed speed = new WorkerSpeed();
  final Map<RunId, Run> runs = new LinkedHashMap<>();

  /** Last report of this life of the agent, or null. */
  @Nullable AgentReport report;

  /** The minion of the last report that named one, or null. */
  @Nullable MinionProfile minion;

  /** Whether the agent obeys this leader, so that its lists are complete. */
  boolean synced;

  /** When the runs were last known to be under a lease. */
  Instant leasedAt = Instant.MIN;

  /** When the last report came. */
  Instant reportedAt = Instant.MIN;

  /** Highest end of the minion's life that has been dealt with. */
  long handledEndsThrough;

  private Resources used = Resources.NONE;
  private int unknownNeeds;
  private final TreeSet<Long> uncommitted = new TreeSet<>();
  private long orders;
  private List<StartOrder> starts = new ArrayList<>();
  private List<RunId> stops = new ArrayList<>();
  private Instant orderedAt = Instant.MIN;

  WorkerState(NodeId agent) {
    this.agent = agent;
  }

  /** Begins a new life of the minion, which knows nothing of the one before. */
  void resetForNewMinion() {
    handledEndsThrough = 0;
    uncommitted.clear();
    starts.clear();
    stops.clear();
  }

  /** Begins a new life of the agent, which has taken no orders. */
  void resetForNewAgent() {
    orders = 0;
    runs.values().forEach(r -> r.orderNumber = 0);
    synced = false;
    starts.clear();
    stops.clear();
  }

  void add(Run run) {
    runs.put(run.id, run);
    used = used.plus(run.need);
    unknownNeeds += run.need.equals(Resources.NONE) ? 1 : 0;
  }

  @Nullable Run remove(RunId id) {
    Run run = runs.remove(id);
    if (run != null) {
      used = used.minus(run.need);
      unknownNeeds -= run.need.equals(Resources.NONE) ? 1 : 0;
    }
    return run;
  }

  /** Returns what new runs may take up; nothing while a run of unknown size is there. */
  Resources free() {
    MinionProfile m = minion;
    return m == null || unknownNeeds > 0 ? Resources.NONE : m.capacity().minus(used);
  }

  /**
   * Returns the speed by what the present runs have done so far, and by the past as far as they
   * tell little. A worker that has turned slow is known by it before any run ends.
   */
  double currentSpeed(Instant now) {
    double done = speed.current(now) * PAST_WEIGHT.toNanos();
    double taken = PAST_WEIGHT.toNanos();
    for (Run r : runs.values()) {
      LiveStep step = r.step;
      if (step != null) {
        done += r.progress() * step.estimatedRunTime.toNanos();
        taken += r.runTime().toNanos();
      }
    }
    return done / taken;
  }

  /** Tells whether the worker answers and may be given work. */
  boolean isUsable(Instant now) {
    MinionProfile m = minion;
    AgentReport r = report;
    return synced
        && m != null
        && r != null
        && r.reachable()
        && !m.draining()
        && !now.isAfter(reportedAt.plus(DOUBT));
  }

  /** Orders a start and returns the number of its orders. */
  long orderStart(StartOrder order) {
    starts.add(order);
    return orders + 1;
  }

  void orderStop(RunId run) {
    stops.add(run);
  }

  /** Returns the orders that have gathered, or null when there are none. */
  @Nullable RunOrders takeOrders(long fence, Instant now) {
    return starts.isEmpty() && stops.isEmpty() ? null : next(fence, now);
  }

  /**
   * Returns empty orders when earlier ones seem to be lost: the agent shows by their number which
   * ones it never got.
   */
  @Nullable RunOrders probeLostOrders(long fence, Duration silence, Instant now) {
    AgentReport r = report;
    boolean behind = r != null && r.processedOrdersThrough() < orders;
    return behind && synced && now.isAfter(orderedAt.plus(silence)) ? next(fence, now) : null;
  }

  /** Tells whether there are orders that an agent had not taken when it reported. */
  boolean hasUnprocessedOrders(AgentReport r) {
    return !starts.isEmpty() || !stops.isEmpty() || r.processedOrdersThrough() < orders;
  }

  /** Takes note of an end that may be acknowledged once it is committed. */
  void addUncommittedEnd(long sequence) {
    uncommitted.add(sequence);
  }

  /** Takes note that the end of a run of some life of the minion is committed. */
  void endCommitted(MinionIncarnation life, long sequence) {
    MinionProfile m = minion;
    if (m != null && m.life().equals(life)) {
      uncommitted.remove(sequence);
    }
  }

  /** Returns the number up to which ends may be acknowledged. */
  long acknowledgedThrough() {
    return uncommitted.isEmpty() ? handledEndsThrough : uncommitted.first() - 1;
  }

  private @Nullable RunOrders next(long fence, Instant now) {
    AgentReport r = report;
    MinionProfile m = minion;
    if (r == null || m == null) {
      return null;
    }
    Incarnation agentLife = r.incarnation();
    orders++;
    orderedAt = now;
    RunOrders o = new RunOrders(fence, agentLife, orders, m.life(), starts, stops);
    starts = new ArrayList<>();
    stops = new ArrayList<>();
    return o;
  }
}
