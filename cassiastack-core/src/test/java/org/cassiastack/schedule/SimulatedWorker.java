package org.cassiastack.schedule;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.MinionId;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.Received;
import org.cassiastack.queue.Resources;
import org.cassiastack.runs.ActiveRun;
import org.cassiastack.runs.AgentReport;
import org.cassiastack.runs.EndedRun;
import org.cassiastack.runs.MinionIncarnation;
import org.cassiastack.runs.MinionProfile;
import org.cassiastack.runs.RunId;
import org.cassiastack.runs.RunOrders;
import org.cassiastack.runs.RunOutcome;

/**
 * A worker of a {@link LoadSimulation}: executes runs, and reports at the end of each run and at
 * intervals.
 */
final class SimulatedWorker {
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(200);
  private static final Duration FAILURE_DELAY = Duration.ofMillis(5);

  /** A minion ends its runs when this time has passed without an order from the leader. */
  private static final Duration LEASE = Duration.ofSeconds(1);

  private final LoadSimulation simulation;
  private final NodeId node;
  private final MinionProfile minion;
  private final Map<RunId, RunProgress> running = new LinkedHashMap<>();
  private final List<EndedRun> ended = new ArrayList<>();
  private double speed;
  private boolean failing;
  private Instant cutOffUntil = Instant.MIN;
  private long processedOrdersThrough;
  private long endCount;

  SimulatedWorker(LoadSimulation simulation, NodeId node, Kind kind) {
    this.simulation = simulation;
    this.node = node;
    this.minion =
        new MinionProfile(
            new MinionIncarnation(new MinionId("minion of " + node), 1),
            LoadSimulation.SERVICE,
            kind.domain,
            kind.capacity,
            kind.labels,
            false);
    this.speed = kind.speed;
    reportPeriodically();
  }

  void slowDown(double factor) {
    running.values().forEach(RunProgress::advance);
    speed /= factor;
    List.copyOf(running.keySet()).forEach(this::scheduleEnd);
  }

  /** Makes every run that starts from now on fail. */
  void failAllRuns() {
    failing = true;
  }

  /** Loses all messages for a time; the runs end with the lease. */
  void cutOff(Duration time) {
    cutOffUntil = simulation.now().plus(time);
    if (time.compareTo(LEASE) > 0) {
      simulation.runAfter(
          LEASE, () -> List.copyOf(running.keySet()).forEach(r -> end(r, RunOutcome.STOPPED)));
    }
  }

  private boolean isCutOff() {
    return simulation.now().isBefore(cutOffUntil);
  }

  /** Returns how many more tasks of the given size fit; none while cut off. */
  int idleSlots(long milliCpu) {
    long slots = minion.capacity().milliCpu() / milliCpu - running.size();
    return isCutOff() ? 0 : (int) slots;
  }

  void receive(RunOrders orders) {
    if (isCutOff()) {
      return;
    }
    processedOrdersThrough = orders.number();
    orders
        .starts()
        .forEach(
            s -> {
              running.put(s.run(), new RunProgress(simulation.workOf(s.run(), minion.labels())));
              if (failing) {
                simulation.runAfter(FAILURE_DELAY, () -> end(s.run(), RunOutcome.FAILED));
              } else {
                scheduleEnd(s.run());
              }
            });
    orders.stops().forEach(r -> end(r, RunOutcome.STOPPED));
  }

  private void scheduleEnd(RunId run) {
    RunProgress progress = running.get(run);
    long plannedEnd = ++progress.scheduledEndNumber;
    Duration remaining = Duration.ofNanos((long) (progress.remainingNanos / speed) + 1);
    simulation.runAfter(
        remaining,
        () -> {
          if (running.get(run) == progress && progress.scheduledEndNumber == plannedEnd) {
            end(run, RunOutcome.DONE);
          }
        });
  }

  private void end(RunId run, RunOutcome outcome) {
    if (running.remove(run) != null) {
      ended.add(new EndedRun(++endCount, run, outcome));
      report();
    }
  }

  private void reportPeriodically() {
    report();
    simulation.runAfter(REPORT_INTERVAL, this::reportPeriodically);
  }

  private void report() {
    if (isCutOff()) {
      return;
    }
    List<ActiveRun> list = new ArrayList<>();
    running.forEach((run, progress) -> list.add(new ActiveRun(run, progress.percent())));
    List<EndedRun> recentEnds =
        List.copyOf(ended.subList(Math.max(0, ended.size() - 20), ended.size()));
    Instant sentAt = simulation.now();
    AgentReport report =
        new AgentReport(
            new Incarnation(1),
            sentAt,
            1,
            minion,
            true,
            true,
            processedOrdersThrough,
            Duration.ZERO,
            list,
            List.of(),
            recentEnds);
    simulation.runAfter(Duration.ofMillis(1), () -> simulation.on(new Received(node, report)));
  }

  /**
   * Properties of a worker.
   *
   * @param speed speed at the start; at 1 a run takes as long as its work
   */
  record Kind(FailureDomain domain, Resources capacity, List<String> labels, double speed) {}

  /** Total and remaining run time of a run, at speed 1. */
  private final class RunProgress {
    private final double totalNanos;
    private double remainingNanos;
    private Instant updatedAt;

    /** Number of the last scheduled end; earlier scheduled ends of the run no longer apply. */
    private long scheduledEndNumber;

    RunProgress(Duration work) {
      this.totalNanos = work.toNanos();
      this.remainingNanos = totalNanos;
      this.updatedAt = simulation.now();
    }

    void advance() {
      remainingNanos =
          Math.max(
              0, remainingNanos - Duration.between(updatedAt, simulation.now()).toNanos() * speed);
      updatedAt = simulation.now();
    }

    int percent() {
      advance();
      return (int) (100 * (1 - remainingNanos / totalNanos));
    }
  }
}
