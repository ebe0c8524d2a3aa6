package org.cassiastack.queue;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * A job of the ledger that has not ended, with its completed tasks and its failed runs.
 *
 * @since 0.2
 */
public final class LedgerJob {
  private final LedgerBatch.Acceptance acceptance;

  /**
   * Number of the first task of each step, counted from 0 over all steps; the last element is the
   * total number of tasks.
   */
  private final int[] firstTaskOfStep;

  private final BitSet doneTasks = new BitSet();
  private final Map<Integer, Set<Long>> failedRunsByTask = new HashMap<>();

  LedgerJob(LedgerBatch.Acceptance acceptance) {
    this.acceptance = acceptance;
    this.firstTaskOfStep = new int[acceptance.job().steps().size() + 1];
    for (int i = 0; i + 1 < firstTaskOfStep.length; i++) {
      firstTaskOfStep[i + 1] = firstTaskOfStep[i] + acceptance.job().steps().get(i).taskCount();
    }
  }

  static LedgerJob restore(LedgerSnapshot.LiveJob snapshot) {
    LedgerJob job = new LedgerJob(snapshot.acceptance());
    snapshot.doneTasks().forEach(job.doneTasks::set);
    snapshot.failedRuns().forEach(f -> job.failedRunsOf(f.task()).add(f.run()));
    return job;
  }

  LedgerSnapshot.LiveJob snapshot() {
    List<LedgerSnapshot.FailedRun> failed = new ArrayList<>();
    failedRunsByTask.forEach(
        (task, runs) -> runs.forEach(r -> failed.add(new LedgerSnapshot.FailedRun(task, r))));
    return new LedgerSnapshot.LiveJob(acceptance, doneTasks.stream().boxed().toList(), failed);
  }

  /** Returns the job as its caller submitted it. */
  public QueuedJob job() {
    return acceptance.job();
  }

  /** Returns the name of the job's queue. */
  public String queue() {
    return acceptance.queue();
  }

  /** Returns the number of failed runs of one task at which the job fails. */
  public int maxAttempts() {
    return acceptance.maxAttempts();
  }

  /** Returns whether a task has completed. */
  public boolean isDone(QueuedTaskId task) {
    return doneTasks.get(taskNumber(task));
  }

  /** Returns the numbers of the failed runs of a task. */
  public Set<Long> failedRuns(QueuedTaskId task) {
    return Set.copyOf(failedRunsByTask.getOrDefault(taskNumber(task), Set.of()));
  }

  /**
   * Returns whether the job has a task of that identity. The ledger does not repeat jobs, so only
   * tasks of occurrence 0 exist.
   */
  public boolean hasTask(QueuedTaskId task) {
    return task.occurrence() == 0
        && task.step() >= 0
        && task.step() < job().steps().size()
        && task.index() >= 0
        && task.index() < job().steps().get(task.step()).taskCount();
  }

  /** Records the end of a run and returns the resulting phase of the job. */
  JobPhase recordTaskEnd(QueuedTaskId task, long run, boolean success) {
    if (success) {
      doneTasks.set(taskNumber(task));
      return doneTasks.cardinality() == firstTaskOfStep[firstTaskOfStep.length - 1]
          ? JobPhase.COMPLETED
          : JobPhase.RUNNING;
    }
    Set<Long> failed = failedRunsOf(taskNumber(task));
    failed.add(run);
    return failed.size() >= maxAttempts() && !isDone(task) ? JobPhase.FAILED : JobPhase.RUNNING;
  }

  private Set<Long> failedRunsOf(int taskNumber) {
    return failedRunsByTask.computeIfAbsent(taskNumber, n -> new TreeSet<>());
  }

  private int taskNumber(QueuedTaskId task) {
    return firstTaskOfStep[task.step()] + task.index();
  }
}
