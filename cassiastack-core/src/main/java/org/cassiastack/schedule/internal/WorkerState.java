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

/** The leader's view of one worker: its agent, its minion, its runs and the orders sent to it. */
final class WorkerState {
  /** Agents report five times a second; a worker that misses two reports gets no new tasks. */
  private static final Duration REPORT_TIMEOUT = Duration.ofMillis(500);

  /** Weight of the speed of ended runs, as an equivalent run time of the active runs. */
  private static final Duration HISTORY_WEIGHT = Duration.ofMillis(300);

  final NodeId agent;
  final MinionHealth health = new MinionHealth();
  final WorkerSpeed speed = new WorkerSpeed();
  final Map<RunId, Run> runs = new LinkedHashMap<>();

  /** Last report of the agent, or null before the first. */
  @Nullable AgentReport report;

  /** The minion of the last report that named a minion, or null before the first. */
  @Nullable MinionProfile minion;

  /** Whether the agent has accepted this leader's fence and reported complete run lists. */
  boolean synced;

  /**
   * When the last report that named a minion arrived; the runs count as leased from then on. {@link
   * Instant#MIN} before the first such report and after the lease has expired.
   */
  Instant leasedAt = Instant.MIN;

  /** When the last report arrived. */
  Instant reportedAt = Instant.MIN;

  /** Highest sequence number of an end of the minion's incarnation that has been handled. */
  long handledEndsThrough;

  private Resources used = Resources.NONE;
  private int unknownNeedCount;
  private final TreeSet<Long> uncommittedEnds = new TreeSet<>();
  private long lastOrdersNumber;
  private List<StartOrder> pendingStarts = new ArrayList<>();
  private List<RunId> pendingStops = new ArrayList<>();
  private Instant ordersSentAt = Instant.MIN;

  WorkerState(NodeId agent) {
    this.agent = agent;
  }

  /**
   * Resets the state for a new incarnation of the minion: ends are numbered from 1 again, and
   * pending orders no longer apply.
   */
  void resetForNewMinion() {
    handledEndsThrough = 0;
    uncommittedEnds.clear();
    pendingStarts.clear();
    pendingStops.clear();
  }

  /** Resets the state for a new incarnation of the agent, which has processed no orders. */
  void resetForNewAgent() {
    lastOrdersNumber = 0;
    runs.values().forEach(r -> r.orderNumber = 0);
    synced = false;
    pendingStarts.clear();
    pendingStops.clear();
  }

  void add(Run run) {
    runs.put(run.id, run);
    used = used.plus(run.need);
    unknownNeedCount += run.need.equals(Resources.NONE) ? 1 : 0;
  }

  @Nullable Run remove(RunId id) {
    Run run = runs.remove(id);
    if (run != null) {
      used = used.minus(run.need);
      unknownNeedCount -= run.need.equals(Resources.NONE) ? 1 : 0;
    }
    return run;
  }

  /** Returns the resources available for new runs; none while a run of unknown need exists. */
  Resources free() {
    MinionProfile m = minion;
    return m == null || unknownNeedCount > 0 ? Resources.NONE : m.capacity().minus(used);
  }

  /**
   * Returns the speed as the weighted mean of the active runs' progress and the speed of ended
   * runs, which dominates while the active runs are short. The progress shows that a worker has
   * become slow before any of its runs ends.
   */
  double currentSpeed(Instant now) {
    double done = speed.current(now) * HISTORY_WEIGHT.toNanos();
    double taken = HISTORY_WEIGHT.toNanos();
    for (Run r : runs.values()) {
      LiveStep step = r.step;
      if (step != null) {
        done += r.progress() * step.estimatedRunTime.toNanos();
        taken += r.runTime().toNanos();
      }
    }
    return done / taken;
  }

  /** Returns whether the worker answers and accepts new tasks. */
  boolean isUsable(Instant now) {
    MinionProfile m = minion;
    AgentReport r = report;
    return synced
        && m != null
        && r != null
        && r.reachable()
        && !m.draining()
        && !now.isAfter(reportedAt.plus(REPORT_TIMEOUT));
  }

  /** Adds a start to the next orders and returns the number of these orders. */
  long orderStart(StartOrder order) {
    pendingStarts.add(order);
    return lastOrdersNumber + 1;
  }

  /** Adds a stop to the next orders. */
  void orderStop(RunId run) {
    pendingStops.add(run);
  }

  /** Returns and clears the collected orders, or returns null when there are none. */
  @Nullable RunOrders takeOrders(long fence, Instant now) {
    return pendingStarts.isEmpty() && pendingStops.isEmpty() ? null : nextOrders(fence, now);
  }

  /**
   * Returns orders with the next number when earlier orders seem to be lost, or null. Once the
   * agent has processed that number, runs of the lost orders that are in none of its lists are
   * known not to exist.
   */
  @Nullable RunOrders probeLostOrders(long fence, Duration timeout, Instant now) {
    AgentReport r = report;
    boolean behind = r != null && r.processedOrdersThrough() < lastOrdersNumber;
    return behind && synced && now.isAfter(ordersSentAt.plus(timeout))
        ? nextOrders(fence, now)
        : null;
  }

  /** Returns whether there are orders that the agent had not processed when it sent a report. */
  boolean hasUnprocessedOrders(AgentReport r) {
    return !pendingStarts.isEmpty()
        || !pendingStops.isEmpty()
        || r.processedOrdersThrough() < lastOrdersNumber;
  }

  /** Records an end that must not be acknowledged before it is committed. */
  void addUncommittedEnd(long sequence) {
    uncommittedEnds.add(sequence);
  }

  /** Records that an end is committed; ignored when the minion has restarted since. */
  void endCommitted(MinionIncarnation incarnation, long sequence) {
    MinionProfile m = minion;
    if (m != null && m.life().equals(incarnation)) {
      uncommittedEnds.remove(sequence);
    }
  }

  /** Returns the sequence number up to which ends may be acknowledged. */
  long acknowledgedThrough() {
    return uncommittedEnds.isEmpty() ? handledEndsThrough : uncommittedEnds.first() - 1;
  }

  private @Nullable RunOrders nextOrders(long fence, Instant now) {
    AgentReport r = report;
    MinionProfile m = minion;
    if (r == null || m == null) {
      return null;
    }
    Incarnation agentIncarnation = r.incarnation();
    lastOrdersNumber++;
    ordersSentAt = now;
    RunOrders o =
        new RunOrders(
            fence, agentIncarnation, lastOrdersNumber, m.life(), pendingStarts, pendingStops);
    pendingStarts = new ArrayList<>();
    pendingStops = new ArrayList<>();
    return o;
  }
}
