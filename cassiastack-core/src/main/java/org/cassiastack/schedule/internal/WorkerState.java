package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
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
  /**
   * A worker whose last report is older than this gets no new tasks. Agents report five times a
   * second, so the worker has then missed two reports.
   */
  private static final Duration REPORT_TIMEOUT = Duration.ofMillis(500);

  /**
   * Weight of the speed of completed runs in {@link #currentSpeed}, as a multiple of the weight of
   * the active runs: nearly all of these must deviate to the same side to replace it.
   */
  private static final double HISTORY_WEIGHT = 0.8;

  /** Minimum weight of the speed of completed runs, in runs. */
  private static final double MIN_HISTORY_WEIGHT = 2;

  /** An active run counts as a full observation of the speed after this time. */
  private static final Duration FULL_OBSERVATION = Duration.ofMillis(100);

  /** Lower bound of the speed, for workers whose active runs make no progress. */
  private static final double MIN_SPEED = 0.02;

  final NodeId agent;
  final MinionHealth health = new MinionHealth();
  final WorkerSpeed speed = new WorkerSpeed();
  final Map<RunId, Run> runs = new LinkedHashMap<>();
  final ReportOrder reportOrder = new ReportOrder();

  /** Last report of the agent, or null before the first. */
  @Nullable AgentReport report;

  /** The minion of the last report that named a minion, or null before the first. */
  @Nullable MinionProfile minion;

  /** Whether the agent has accepted this leader's fence and reported complete run lists. */
  boolean synced;

  /**
   * When the last report that named a minion arrived. The expiry of the lease of the worker's runs
   * is counted from this time. {@link Instant#MIN} before the first such report and after the lease
   * has expired.
   */
  Instant leasedAt = Instant.MIN;

  /**
   * Time before which the last complete run lists under this leader's fence cannot have been made:
   * when the newest orders were sent that the agent had processed. Reports may arrive long after
   * their sending, so the time of their arrival tells nothing. {@link Instant#MIN} before the
   * first.
   */
  private Instant listsSince = Instant.MIN;

  /** When the agent was last asked for its run lists. */
  private Instant listsRequestedAt = Instant.MIN;

  /** When orders were sent that the agent is not known to have processed, by their number. */
  private final NavigableMap<Long, Instant> orderTimes = new TreeMap<>();

  /** Whether the worker was reported as slow, and not as recovered since. */
  boolean isSlow;

  /** When the last report arrived. */
  Instant reportedAt = Instant.MIN;

  /**
   * Highest sequence number of the handled run ends of the minion's current incarnation; 0 if none.
   */
  long handledEndsThrough;

  private double currentSpeed = 1;
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
   *
   * @return the runs whose starts were not sent
   */
  List<RunId> resetForNewMinion() {
    List<RunId> unsent = pendingStarts.stream().map(StartOrder::run).toList();
    handledEndsThrough = 0;
    synced = false;
    uncommittedEnds.clear();
    pendingStarts.clear();
    pendingStops.clear();
    return unsent;
  }

  /** Resets the state for a new incarnation of the agent, which has processed no orders. */
  void resetForNewAgent() {
    lastOrdersNumber = 0;
    orderTimes.clear();
    listsSince = Instant.MIN;
    listsRequestedAt = Instant.MIN;
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
   * Returns the speed as of the last {@link #updateSpeed}, which takes place with each report and
   * each tick.
   */
  double currentSpeed() {
    return currentSpeed;
  }

  /**
   * Computes the current speed: the weighted median of the speed of completed runs and of the
   * speeds that the progress of the active runs shows. The progress of active runs shows that a
   * worker has become slow before any of its runs ends; a single task that is much longer than
   * estimated does not change a median.
   */
  void updateSpeed(Instant now) {
    double history = speed.current(now);
    double[] speeds = new double[runs.size()];
    double[] weights = new double[runs.size()];
    int count = 0;
    double total = 0;
    for (Run r : runs.values()) {
      LiveStep step = r.step;
      long taken = r.runTime().toNanos();
      if (step == null || taken == 0) {
        continue;
      }
      double shown = r.progress() * step.estimatedRunTime.toNanos() / taken;
      double weight = Math.min(1, (double) taken / FULL_OBSERVATION.toNanos());
      int at = count++;
      for (; at > 0 && speeds[at - 1] > shown; at--) {
        speeds[at] = speeds[at - 1];
        weights[at] = weights[at - 1];
      }
      speeds[at] = shown;
      weights[at] = weight;
      total += weight;
    }
    double historyWeight = Math.max(MIN_HISTORY_WEIGHT, HISTORY_WEIGHT * total);
    currentSpeed =
        Math.max(MIN_SPEED, median(speeds, weights, count, total, history, historyWeight));
  }

  /** Returns the weighted median of ascending values and one more value. */
  private static double median(
      double[] values, double[] weights, int count, double total, double other, double weight) {
    double half = (total + weight) / 2;
    double below = 0;
    boolean otherPassed = false;
    for (int i = 0; i < count; i++) {
      if (!otherPassed && values[i] > other) {
        below += weight;
        otherPassed = true;
        if (below >= half) {
          return other;
        }
      }
      below += weights[i];
      if (below >= half) {
        return values[i];
      }
    }
    return other;
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

  /** Adds a start to the next {@link RunOrders} and returns the sequence number of that message. */
  long orderStart(StartOrder order) {
    pendingStarts.add(order);
    return lastOrdersNumber + 1;
  }

  /** Adds a stop to the next {@link RunOrders}. */
  void orderStop(RunId run) {
    pendingStops.add(run);
  }

  /** Returns and clears the collected orders, or returns null when there are none. */
  @Nullable RunOrders takeOrders(long fence, Instant now) {
    return pendingStarts.isEmpty() && pendingStops.isEmpty() ? null : nextOrders(fence, now);
  }

  /**
   * Returns the next orders, even if they are empty, when the agent has not processed earlier
   * orders within a timeout, so that these seem to be lost; otherwise null. Once the agent has
   * processed the new orders, those runs of the earlier orders that are in none of its lists are
   * known not to exist.
   */
  @Nullable RunOrders probeLostOrders(long fence, Duration timeout, Instant now) {
    AgentReport r = report;
    boolean behind = r != null && r.processedOrdersThrough() < lastOrdersNumber;
    return behind && synced && now.isAfter(ordersSentAt.plus(timeout))
        ? nextOrders(fence, now)
        : null;
  }

  /**
   * Returns empty orders, which the agent answers at once with a report, unless it was asked since
   * a time or within an interval; otherwise null.
   */
  @Nullable RunOrders requestLists(long fence, Instant since, Duration interval, Instant now) {
    boolean isAsked = !listsRequestedAt.isBefore(since);
    if (!synced || isAsked || now.isBefore(listsRequestedAt.plus(interval))) {
      return null;
    }
    RunOrders o = nextOrders(fence, now);
    listsRequestedAt = o == null ? listsRequestedAt : now;
    return o;
  }

  /**
   * Numbers the next orders above those that the agent has processed: this leader may have removed
   * the worker before, and the agent ignores orders with numbers that it knows.
   */
  void continueOrderNumbers(AgentReport r) {
    lastOrdersNumber = Math.max(lastOrdersNumber, r.processedOrdersThrough());
  }

  /** Records a report under this leader's fence with complete run lists. */
  void recordCompleteLists(AgentReport r) {
    Map.Entry<Long, Instant> processed = orderTimes.floorEntry(r.processedOrdersThrough());
    if (processed != null) {
      listsSince = processed.getValue();
      orderTimes.headMap(processed.getKey()).clear();
    }
  }

  /** Returns the time before which the last complete run lists cannot have been made. */
  Instant listsSince() {
    return synced ? listsSince : Instant.MIN;
  }

  /** Moves the times that are kept by this process's clock. */
  void onClockLeaped(Duration leap) {
    leasedAt = moved(leasedAt, leap);
    reportedAt = moved(reportedAt, leap);
    listsSince = moved(listsSince, leap);
    listsRequestedAt = moved(listsRequestedAt, leap);
    orderTimes.replaceAll((number, at) -> at.plus(leap));
    reportOrder.onClockLeaped(leap);
  }

  private static Instant moved(Instant at, Duration leap) {
    return at.equals(Instant.MIN) ? at : at.plus(leap);
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
    orderTimes.put(lastOrdersNumber, now);
    RunOrders o =
        new RunOrders(
            fence, agentIncarnation, lastOrdersNumber, m.life(), pendingStarts, pendingStops);
    pendingStarts = new ArrayList<>();
    pendingStops = new ArrayList<>();
    return o;
  }
}
