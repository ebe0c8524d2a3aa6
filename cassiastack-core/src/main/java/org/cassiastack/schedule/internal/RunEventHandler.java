package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.cassiastack.decision.Decision;
import org.cassiastack.model.ServiceName;
import org.cassiastack.queue.JobPhase;
import org.cassiastack.queue.LedgerBatch;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.queue.QueuedTaskId;
import org.cassiastack.queue.Resources;
import org.cassiastack.runs.EndedRun;
import org.cassiastack.runs.MinionProfile;
import org.cassiastack.runs.RunId;
import org.cassiastack.runs.RunOutcome;
import org.jspecify.annotations.Nullable;

/** Draws the conclusions for jobs from what happens to runs. */
final class RunEventHandler implements RunListener {
  /** A stop that has had no effect for this long is ordered again. */
  private static final Duration STOP_AGAIN = Duration.ofMillis(200);

  /**
   * Runs at a worker below this part of the usual speed say more of the worker than of the work.
   */
  private static final double LEAST_SPEED = 0.5;

  private final LiveJobs board;
  private final PendingCommits commits;
  private final Consumer<Decision> decisions;
  private final JobEndListener ends;

  /** Tells whether the ledger holds a job that has not ended. */
  private final Predicate<QueuedJobId> stored;

  /** Gives the median speed of the workers of a service. */
  private final ToDoubleFunction<ServiceName> usualSpeed;

  RunEventHandler(
      LiveJobs board,
      PendingCommits commits,
      Consumer<Decision> decisions,
      JobEndListener ends,
      Predicate<QueuedJobId> stored,
      ToDoubleFunction<ServiceName> usualSpeed) {
    this.stored = stored;
    this.usualSpeed = usualSpeed;
    this.board = board;
    this.commits = commits;
    this.decisions = decisions;
    this.ends = ends;
  }

  @Override
  public void runEnded(WorkerState w, @Nullable Run run, EndedRun end, Instant now) {
    if (end.outcome() != RunOutcome.DONE) {
      String how = end.outcome().name().toLowerCase(Locale.ROOT);
      decisions.accept(Decision.of("run_ended", end.run(), how, "agent=" + w.agent));
    }
    LiveStep step = board.findStep(end.run().task());
    int index = end.run().task().index();
    if (run != null && run.step != null) {
      observe(w, run, end, now);
    }
    commit(w, step, end);
    if (step == null) {
      return;
    }
    boolean own = run != null && run.step == step;
    if (end.outcome() == RunOutcome.DONE) {
      if (step.complete(index)) {
        board.ready.tasksRemoved(step);
        board.queueReadySteps(step.job);
        if (step.job.isDone()) {
          ends.jobEnded(step.job, JobPhase.COMPLETED, now);
        }
      }
    } else if (end.outcome() == RunOutcome.FAILED) {
      int failures = step.recordFailure(index, end.run().number());
      step.avoidAgent(index, w.agent);
      if (own) {
        board.requeueTask(step, index);
      }
      if (failures >= step.job.queue.maxAttempts() && !step.isDone(index)) {
        ends.jobEnded(step.job, JobPhase.FAILED, now);
      }
    } else if (own) {
      board.requeueTask(step, index);
    }
  }

  @Override
  public void runLost(WorkerState w, Run run, Instant now) {
    String age = "agent=" + w.agent + " ordered_ago=" + Duration.between(run.orderedAt, now);
    decisions.accept(Decision.of("run_gone", run.id, "not_there", age));
    LiveStep step = run.step;
    if (step != null && board.findStep(run.id.task()) == step) {
      board.requeueTask(step, run.id.task().index());
    }
  }

  @Override
  public Run runFound(WorkerState w, RunId id, Instant now) {
    decisions.accept(Decision.of("run_found", id, "taken_over", "agent=" + w.agent));
    LiveStep step = board.findStep(id.task());
    int index = id.task().index();
    if (step == null || step.isDone(index) || step.isAssigned(index)) {
      Resources need = step == null ? Resources.NONE : step.spec.need();
      return new Run(id, null, need, 0, now);
    }
    step.adopt(index, id.number());
    board.ready.tasksRemoved(step);
    board.markStarted(step.job);
    return new Run(id, step, step.spec.need(), 0, now);
  }

  /** Orders unwanted runs to be stopped, and again if they do not end. */
  void stopUnwantedRuns(WorkerState w, Instant now) {
    if (!w.synced) {
      return;
    }
    for (Run r : w.runs.values()) {
      if (r.isUnwanted() && now.isAfter(r.stopSentAt.plus(STOP_AGAIN))) {
        r.stopSentAt = now;
        w.orderStop(r.id);
      }
    }
  }

  /**
   * Stores an end before it is acknowledged. That holds also for a job that has failed by another
   * task meanwhile: until its failure is stored, a later leader would go on with the job.
   */
  private void commit(WorkerState w, @Nullable LiveStep step, EndedRun end) {
    MinionProfile m = w.minion;
    QueuedTaskId task = end.run().task();
    boolean decides = end.outcome() == RunOutcome.DONE || end.outcome() == RunOutcome.FAILED;
    boolean kept = step == null ? stored.test(task.job()) : step.job.job.durable();
    if (m == null || !decides || !kept) {
      return;
    }
    w.addUncommittedEnd(end.sequence());
    commits.addTaskEnd(
        new LedgerBatch.TaskEnd(task, end.run().number(), end.outcome() == RunOutcome.DONE),
        at -> w.endCommitted(m.life(), end.sequence()));
  }

  private void observe(WorkerState w, Run run, EndedRun end, Instant now) {
    LiveStep step = run.step;
    if (step != null && end.outcome() == RunOutcome.DONE && run.orderNumber > 0) {
      Duration taken = Duration.between(run.orderedAt, now);
      // Only the product of speed and work is seen: without a fixed scale both would drift.
      double relative = w.currentSpeed(now) / usualSpeed.applyAsDouble(step.job.queue.service());
      w.speed.recordRun(step.estimatedRunTime, taken, now);
      if (relative >= LEAST_SPEED) {
        board.runTimeEstimates().recordRun(step.job.queue.name(), step.spec, taken, relative);
      }
      w.health.succeeded();
    } else if (step != null && end.outcome() == RunOutcome.FAILED) {
      w.health.failed(step.job.job.id());
      if (w.health.isOutlier()) {
        w.health.eject(now);
      }
    }
  }
}
