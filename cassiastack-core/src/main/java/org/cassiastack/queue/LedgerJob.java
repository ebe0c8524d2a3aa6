package org.cassiastack.queue;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * A job of the ledger that has not ended: which tasks are done and how often others failed.
 *
 * @since 0.2
 */
public final class LedgerJob {
  private final LedgerBatch.Acceptance acceptance;
  private final int[] firstOfStep;
  private final BitSet done = new BitSet();
  private final Map<Integer, Set<Long>> failures = new HashMap<>();

  LedgerJob(LedgerBatch.Acceptance acceptance) {
    this.acceptance = acceptance;
    this.firstOfStep = new int[acceptance.job().steps().size() + 1];
    for (int i = 0; i + 1 < firstOfStep.length; i++) {
      firstOfStep[i + 1] = firstOfStep[i] + acceptance.job().steps().get(i).taskCount();
    }
  }

  static LedgerJob restore(LedgerSnapshot.LiveJob live) {
    LedgerJob job = new LedgerJob(live.acceptance());
    live.doneTasks().forEach(job.done::set);
    live.failedRuns().forEach(f -> job.failuresOf(f.task()).add(f.run()));
    return job;
  }

  LedgerSnapshot.LiveJob snapshot() {
    List<LedgerSnapshot.FailedRun> failed = new ArrayList<>();
    failures.forEach(
        (task, runs) -> runs.forEach(r -> failed.add(new LedgerSnapshot.FailedRun(task, r))));
    return new LedgerSnapshot.LiveJob(acceptance, done.stream().boxed().toList(), failed);
  }

  /** Returns the job as its caller handed it in. */
  public QueuedJob job() {
    return acceptance.job();
  }

  /** Returns the name of its queue. */
  public String queue() {
    return acceptance.queue();
  }

  /** Returns the number of failed runs of one task that fails the job. */
  public int maxAttempts() {
    return acceptance.maxAttempts();
  }

  /** Tells whether a task is done. */
  public boolean isDone(QueuedTaskId task) {
    return done.get(number(task));
  }

  /** Returns the runs of a task that have failed. */
  public Set<Long> failedRuns(QueuedTaskId task) {
    return Set.copyOf(failures.getOrDefault(number(task), Set.of()));
  }

  /** Tells whether the job has a task of that name. */
  public boolean hasTask(QueuedTaskId task) {
    return task.occurrence() == 0
        && task.step() >= 0
        && task.step() < job().steps().size()
        && task.index() >= 0
        && task.index() < job().steps().get(task.step()).taskCount();
  }

  /** Takes note of an end and tells how far the job has come by it. */
  JobPhase recordTaskEnd(QueuedTaskId task, long run, boolean success) {
    if (success) {
      done.set(number(task));
      return done.cardinality() == firstOfStep[firstOfStep.length - 1]
          ? JobPhase.COMPLETED
          : JobPhase.RUNNING;
    }
    Set<Long> failed = failuresOf(number(task));
    failed.add(run);
    return failed.size() >= maxAttempts() && !isDone(task) ? JobPhase.FAILED : JobPhase.RUNNING;
  }

  private Set<Long> failuresOf(int number) {
    return failures.computeIfAbsent(number, n -> new TreeSet<>());
  }

  private int number(QueuedTaskId task) {
    return firstOfStep[task.step()] + task.index();
  }
}
