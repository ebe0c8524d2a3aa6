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
 * A worker of a {@link LoadSimulation}: it works tasks off and reports each end, and at intervals.
 */
final class SimulatedWorker {
  private static final Duration REPORTS = Duration.ofMillis(200);
  private static final double WORK_SPREAD = 0.3;

  private final LoadSimulation play;
  private final NodeId node;
  private final MinionProfile minion;
  private final Map<RunId, Work> running = new LinkedHashMap<>();
  private final List<EndedRun> ended = new ArrayList<>();
  private double speed = 1;
  private long ordersThrough;
  private long ends;

  SimulatedWorker(LoadSimulation play, NodeId node, int room) {
    this.play = play;
    this.node = node;
    this.minion =
        new MinionProfile(
            new MinionIncarnation(new MinionId("minion of " + node), 1),
            LoadSimulation.SERVICE,
            new FailureDomain("a"),
            new Resources(room * LoadSimulation.TASK_MILLI_CPU, 8_000, 0),
            List.of(),
            false);
    reportAgain();
  }

  void slowDown(double times) {
    running.values().forEach(Work::advance);
    speed /= times;
    List.copyOf(running.keySet()).forEach(this::scheduleEnd);
  }

  void receive(RunOrders o) {
    ordersThrough = o.number();
    o.starts()
        .forEach(
            s -> {
              running.put(s.run(), new Work(play.runTimeOf(s.run())));
              scheduleEnd(s.run());
            });
    o.stops().forEach(r -> end(r, RunOutcome.STOPPED));
  }

  private void scheduleEnd(RunId run) {
    Work w = running.get(run);
    long plan = ++w.plan;
    Duration left = Duration.ofNanos((long) (w.left / speed) + 1);
    play.after(
        left,
        () -> {
          if (running.get(run) == w && w.plan == plan) {
            end(run, RunOutcome.DONE);
          }
        });
  }

  private void end(RunId run, RunOutcome how) {
    if (running.remove(run) != null) {
      ended.add(new EndedRun(++ends, run, how));
      report();
    }
  }

  private void reportAgain() {
    report();
    play.after(REPORTS, this::reportAgain);
  }

  private void report() {
    List<ActiveRun> list = new ArrayList<>();
    running.forEach((r, w) -> list.add(new ActiveRun(r, w.percent())));
    List<EndedRun> news = List.copyOf(ended.subList(Math.max(0, ended.size() - 20), ended.size()));
    Instant sent = play.now();
    AgentReport report =
        new AgentReport(
            new Incarnation(1),
            sent,
            1,
            minion,
            true,
            true,
            ordersThrough,
            Duration.ZERO,
            list,
            List.of(),
            news);
    play.after(Duration.ofMillis(1), () -> play.on(new Received(node, report)));
  }

  /** What is left to do of a task. */
  private final class Work {
    private final double whole;
    private double left;
    private Instant since;
    private long plan;

    Work(Duration mean) {
      this.whole = mean.toNanos() * (1 + WORK_SPREAD * (2 * play.random() - 1));
      this.left = whole;
      this.since = play.now();
    }

    void advance() {
      left = Math.max(0, left - Duration.between(since, play.now()).toNanos() * speed);
      since = play.now();
    }

    int percent() {
      advance();
      return (int) (100 * (1 - left / whole));
    }
  }
}
