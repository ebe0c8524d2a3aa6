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

/** Observes every start and end of a run on all minions, and fails when an invariant is broken. */
final class RunChecker {
  private final Map<QueuedTaskId, String> running = new HashMap<>();
  private final Map<Object, Long> usedMilliCpu = new HashMap<>();
  private final Set<QueuedTaskId> doneTasks = new HashSet<>();
  private final Set<QueuedTaskId> acknowledgedTasks = new HashSet<>();
  private final Map<QueuedTaskId, Integer> startsByTask = new HashMap<>();

  /** Number of starts of each task when a run of it was done. */
  private final Map<EndedRun, Integer> startsWhenDone = new HashMap<>();

  private final Map<QueuedTaskId, Integer> failureCounts = new HashMap<>();
  private final Set<QueuedJobId> submittedJobs = new HashSet<>();
  private final Set<QueuedJobId> durableJobs = new HashSet<>();
  private final Map<QueuedJobId, Long> cancelledAt = new LinkedHashMap<>();
  private final Map<QueuedTaskId, List<String>> history = new HashMap<>();
  private final QueueSimulation simulation;
  private final Map<RunId, Long> startedAt = new HashMap<>();
  private int starts;
  private int unfinishedRuns;
  private long unfinishedMillis;

  RunChecker(QueueSimulation simulation) {
    this.simulation = simulation;
  }

  void submitted(QueuedJobId id, boolean durable) {
    submittedJobs.add(id);
    if (durable) {
      this.durableJobs.add(id);
    }
  }

  void cancelled(QueuedJobId id) {
    cancelledAt.putIfAbsent(id, simulation.millis());
  }

  /** Returns whether a task of a job was started. */
  boolean hasStarted(QueuedJobId id) {
    return startsByTask.keySet().stream().anyMatch(t -> t.job().equals(id));
  }

  /** Returns how often tasks of a job were started. */
  int startsOf(QueuedJobId id) {
    return startsByTask.entrySet().stream()
        .filter(e -> e.getKey().job().equals(id))
        .mapToInt(Map.Entry::getValue)
        .sum();
  }

  int starts() {
    return starts;
  }

  /** Returns the number of runs that were stopped, or ended with their lease or their minion. */
  int unfinishedRuns() {
    return unfinishedRuns;
  }

  /** Returns the sum of the run times of unfinished runs. */
  long unfinishedMillis() {
    return unfinishedMillis;
  }

  void started(FakeMinion minion, RunId run) {
    starts++;
    QueuedTaskId task = run.task();
    String where = simulation + " start of " + run + " at " + minion.incarnation() + history(task);
    assertThat(submittedJobs).as(where + ": the job was not submitted").contains(task.job());
    assertThat(running).as(where + ": the task is already running").doesNotContainKey(task);
    assertThat(acknowledgedTasks).as(where + ": an end was acknowledged").doesNotContain(task);
    assertThat(failureCounts.getOrDefault(task, 0))
        .as(where + ": the task has already failed as often as allowed")
        .isLessThan(QueueSimulation.MAX_ATTEMPTS);
    startsByTask.merge(task, 1, Integer::sum);
    recordHistory(task, "started " + run.number() + " at " + minion.incarnation());
    running.put(task, run + " at " + minion.incarnation());
    startedAt.put(run, simulation.millis());
    long sum = usedMilliCpu.merge(minion, QueueSimulation.TASK_MILLI_CPU, Long::sum);
    assertThat(sum)
        .as(where + ": the minion has no free capacity")
        .isLessThanOrEqualTo(FakeMinion.CAPACITY.milliCpu());
  }

  void runLost(FakeMinion minion, RunId run) {
    recordUnfinished(run);
    removeRun(minion, run);
  }

  private void recordUnfinished(RunId run) {
    unfinishedRuns++;
    unfinishedMillis += simulation.millis() - startedAt.getOrDefault(run, simulation.millis());
  }

  private void removeRun(FakeMinion minion, RunId run) {
    running.remove(run.task());
    usedMilliCpu.merge(minion, -QueueSimulation.TASK_MILLI_CPU, Long::sum);
  }

  void ended(FakeMinion minion, EndedRun e) {
    removeRun(minion, e.run());
    if (e.outcome() != RunOutcome.DONE && e.outcome() != RunOutcome.FAILED) {
      recordUnfinished(e.run());
    }
    recordHistory(e.run().task(), "ended " + e + " at " + minion.incarnation());
    if (e.outcome() == RunOutcome.DONE) {
      doneTasks.add(e.run().task());
      startsWhenDone.put(e, startsByTask.getOrDefault(e.run().task(), 0));
    }
  }

  /** Returns a text of all recorded events of a task. */
  String history(QueuedTaskId task) {
    return " after " + history.getOrDefault(task, List.of());
  }

  private void recordHistory(QueuedTaskId task, String text) {
    history.computeIfAbsent(task, t -> new ArrayList<>()).add(simulation.millis() + " ms " + text);
  }

  /**
   * Records an acknowledged end. Jobs that are not durable may start again, so they are ignored.
   */
  void acknowledged(EndedRun e) {
    if (!durableJobs.contains(e.run().task().job())) {
      return;
    }
    recordHistory(e.run().task(), "acknowledged " + e);
    if (e.outcome() == RunOutcome.DONE) {
      acknowledgedTasks.add(e.run().task());
      assertThat(startsByTask.get(e.run().task()))
          .as(simulation + " starts of " + e.run().task() + history(e.run().task()))
          .isEqualTo(startsWhenDone.get(e));
    } else if (e.outcome() == RunOutcome.FAILED) {
      failureCounts.merge(e.run().task(), 1, Integer::sum);
    }
  }

  boolean isDone(QueuedTaskId task) {
    return doneTasks.contains(task);
  }
}
