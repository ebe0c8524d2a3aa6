package org.cassiastack.schedule.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.queue.QueuedTaskId;
import org.cassiastack.runs.EndedRun;
import org.cassiastack.runs.RunId;
import org.cassiastack.runs.RunOutcome;

/** Sees every start and end at every minion, and fails on what must never happen. */
final class RunChecker {
  private final Map<QueuedTaskId, String> running = new HashMap<>();
  private final Map<Object, Long> used = new HashMap<>();
  private final Set<QueuedTaskId> done = new HashSet<>();
  private final Set<QueuedTaskId> acknowledged = new HashSet<>();
  private final Map<QueuedTaskId, Integer> failures = new HashMap<>();
  private final Set<QueuedJobId> submitted = new HashSet<>();
  private final Set<QueuedJobId> kept = new HashSet<>();
  private final Map<QueuedJobId, Long> cancelledAt = new LinkedHashMap<>();
  private final Map<QueuedTaskId, List<String>> history = new HashMap<>();
  private final QueueSimulation world;
  private int starts;

  RunChecker(QueueSimulation world) {
    this.world = world;
  }

  void submitted(QueuedJobId id, boolean kept) {
    submitted.add(id);
    if (kept) {
      this.kept.add(id);
    }
  }

  void cancelled(QueuedJobId id) {
    cancelledAt.putIfAbsent(id, world.millis());
  }

  int starts() {
    return starts;
  }

  void started(FakeMinion minion, RunId run) {
    starts++;
    QueuedTaskId task = run.task();
    String where = world + " start of " + run + " at " + minion.incarnation() + history(task);
    assertThat(submitted).as(where + ": nobody asked for it").contains(task.job());
    assertThat(running).as(where + ": it runs already").doesNotContainKey(task);
    assertThat(acknowledged).as(where + ": its end was acknowledged").doesNotContain(task);
    assertThat(failures.getOrDefault(task, 0))
        .as(where + ": it has failed too often")
        .isLessThan(QueueSimulation.MAX_ATTEMPTS);
    note(task, "started " + run.number() + " at " + minion.incarnation());
    running.put(task, run + " at " + minion.incarnation());
    long sum = used.merge(minion, QueueSimulation.TASK_MILLI_CPU, Long::sum);
    assertThat(sum).as(where + ": no room").isLessThanOrEqualTo(FakeMinion.CAPACITY.milliCpu());
  }

  void runLost(FakeMinion minion, RunId run) {
    running.remove(run.task());
    used.merge(minion, -QueueSimulation.TASK_MILLI_CPU, Long::sum);
  }

  void ended(FakeMinion minion, EndedRun e) {
    runLost(minion, e.run());
    note(e.run().task(), "ended " + e + " at " + minion.incarnation());
    if (e.outcome() == RunOutcome.DONE) {
      done.add(e.run().task());
    }
  }

  /** Returns what happened to a task so far. */
  String history(QueuedTaskId task) {
    return " after " + history.getOrDefault(task, List.of());
  }

  private void note(QueuedTaskId task, String what) {
    history.computeIfAbsent(task, t -> new ArrayList<>()).add(world.millis() + " ms " + what);
  }

  /** Only ends of a job that is kept stand for good; another one may begin anew. */
  void acknowledged(EndedRun e) {
    if (!kept.contains(e.run().task().job())) {
      return;
    }
    note(e.run().task(), "acknowledged " + e);
    if (e.outcome() == RunOutcome.DONE) {
      acknowledged.add(e.run().task());
    } else if (e.outcome() == RunOutcome.FAILED) {
      failures.merge(e.run().task(), 1, Integer::sum);
    }
  }

  boolean isDone(QueuedTaskId task) {
    return done.contains(task);
  }
}
