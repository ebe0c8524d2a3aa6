package org.cassiastack.queue;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A job of the ledger that has not ended: which tasks are done and how often others failed.
 *
 * @since 0.2
 */
public final class LedgerJob {
  private final LedgerBatch.Acceptance acceptance;
  private final int[] firstOfStep;
  private final BitSet done = new BitSet();
  private final Map<Integer, Integer> failures = new HashMap<>();

  LedgerJob(LedgerBatch.Acceptance acceptance) {
    this.acceptance = acceptance;
    this.firstOfStep = new int[acceptance.job().steps().size() + 1];
    for (int i = 0; i + 1 < firstOfStep.length; i++) {
      firstOfStep[i + 1] = firstOfStep[i] + acceptance.job().steps().get(i).tasks();
    }
  }

  static LedgerJob restore(LedgerSnapshot.Live live) {
    LedgerJob job = new LedgerJob(live.acceptance());
    live.done().forEach(job.done::set);
    live.failures().forEach(t -> job.failures.merge(t, 1, Integer::sum));
    return job;
  }

  LedgerSnapshot.Live snapshot() {
    List<Integer> failed = new ArrayList<>();
    failures.forEach((task, n) -> failed.addAll(Collections.nCopies(n, task)));
    return new LedgerSnapshot.Live(acceptance, done.stream().boxed().toList(), failed);
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
  public int mostAttempts() {
    return acceptance.mostAttempts();
  }

  /** Tells whether a task is done. */
  public boolean isDone(TaskName task) {
    return done.get(number(task));
  }

  /** Returns how often a task has failed. */
  public int failures(TaskName task) {
    return failures.getOrDefault(number(task), 0);
  }

  /** Tells whether the job has a task of that name. */
  public boolean has(TaskName task) {
    return task.occurrence() == 0
        && task.step() >= 0
        && task.step() < job().steps().size()
        && task.index() >= 0
        && task.index() < job().steps().get(task.step()).tasks();
  }

  /** Takes note of an end and tells how far the job has come by it. */
  JobPhase ended(TaskName task, boolean success) {
    if (success) {
      done.set(number(task));
      return done.cardinality() == firstOfStep[firstOfStep.length - 1]
          ? JobPhase.COMPLETED
          : JobPhase.RUNNING;
    }
    int failed = failures.merge(number(task), 1, Integer::sum);
    return failed >= mostAttempts() && !isDone(task) ? JobPhase.FAILED : JobPhase.RUNNING;
  }

  private int number(TaskName task) {
    return firstOfStep[task.step()] + task.index();
  }
}
