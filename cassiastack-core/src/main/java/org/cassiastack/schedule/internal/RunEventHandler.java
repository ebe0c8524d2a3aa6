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
import org.cassiastack.runs.AgentReport;
import org.cassiastack.runs.EndedRun;
import org.cassiastack.runs.MinionProfile;
import org.cassiastack.runs.RunId;
import org.cassiastack.runs.RunOutcome;
import org.jspecify.annotations.Nullable;

/**
 * Updates jobs when runs end, are lost, or are found (reported by an agent without a record at this
 * leader), and stops runs that are no longer needed.
 */
final class RunEventHandler implements RunListener {
  /** A stop is ordered again when the run has not ended after this time. */
  private static final Duration STOP_RESEND_INTERVAL = Duration.ofMillis(200);

  /**
   * Run times at a worker below this fraction of the median speed are not used for estimates,
   * because they depend more on the worker than on the task.
   */
  private static final double MIN_RELATIVE_SPEED = 0.5;

  /** A slow worker counts as recovered from this fraction of the median speed. */
  private static final double RECOVERED_RELATIVE_SPEED = 0.7;

  private final LiveJobs liveJobs;
  private final LedgerChanges commits;
  private final Consumer<Decision> decisions;
  private final JobEndListener jobEndListener;

  /** Returns whether a job is in the ledger and has not ended. */
  private final Predicate<QueuedJobId> isLiveInLedger;

  /** Returns the median speed of the workers of a service. */
  private final ToDoubleFunction<ServiceName> medianSpeed;

  RunEventHandler(
      LiveJobs liveJobs,
      LedgerChanges commits,
      Consumer<Decision> decisions,
      JobEndListener jobEndListener,
      Predicate<QueuedJobId> isLiveInLedger,
      ToDoubleFunction<ServiceName> medianSpeed) {
    this.isLiveInLedger = isLiveInLedger;
    this.medianSpeed = medianSpeed;
    this.liveJobs = liveJobs;
    this.commits = commits;
    this.decisions = decisions;
    this.jobEndListener = jobEndListener;
  }

  @Override
  public void runEnded(WorkerState w, @Nullable Run run, EndedRun end, Instant now) {
    if (end.outcome() != RunOutcome.DONE) {
      String outcome = end.outcome().name().toLowerCase(Locale.ROOT);
      decisions.accept(Decision.of("run_ended", end.run(), outcome, "agent=" + w.agent));
    }
    LiveStep step = liveJobs.findStep(end.run().task());
    int index = end.run().task().index();
    if (run != null && run.step != null) {
      updateSpeedAndHealth(w, run, end, now);
    }
    commitEnd(w, step, end);
    if (step == null) {
      return;
    }
    boolean isRunOfStep = run != null && run.step == step;
    if (end.outcome() == RunOutcome.DONE) {
      if (step.complete(index)) {
        liveJobs.ready.tasksRemoved(step);
        liveJobs.queueReadySteps(step.job);
        if (step.job.isDone()) {
          jobEndListener.jobEnded(step.job, JobPhase.COMPLETED, now);
        }
      }
    } else if (end.outcome() == RunOutcome.FAILED) {
      int failures = step.recordFailure(index, end.run().number());
      step.avoidAgent(index, w.agent);
      if (isRunOfStep) {
        liveJobs.requeueTask(step, index);
      }
      if (failures >= step.job.maxAttempts && !step.isDone(index)) {
        jobEndListener.jobEnded(step.job, JobPhase.FAILED, now);
      }
    } else if (isRunOfStep) {
      liveJobs.requeueTask(step, index);
    }
  }

  @Override
  public void agentReplaced(
      WorkerState w, AgentReport report, ReportOrder.Verdict verdict, Duration silence) {
    AgentReport last = w.report;
    String former = last == null ? "none" : last.incarnation().toString();
    String inputs =
        "incarnation=" + report.incarnation() + " former=" + former + " silent=" + silence;
    String outcome = verdict.name().toLowerCase(Locale.ROOT);
    decisions.accept(Decision.of("agent_replaced", w.agent, outcome, inputs));
  }

  @Override
  public void runLost(WorkerState w, Run run, RunLoss loss, Instant now) {
    MinionProfile m = w.minion;
    String inputs =
        "agent="
            + w.agent
            + " ordered_ago="
            + Duration.between(run.orderedAt, now)
            + " cause="
            + loss.logValue()
            + " life="
            + (m == null ? null : m.life())
            + describeReport(w, now);
    decisions.accept(Decision.of("run_gone", run.id, "not_there", inputs));
    LiveStep step = run.step;
    if (step != null && liveJobs.findStep(run.id.task()) == step) {
      liveJobs.requeueTask(step, run.id.task().index());
    }
  }

  private static String describeReport(WorkerState w, Instant now) {
    AgentReport r = w.report;
    return r == null
        ? ""
        : " report_sent="
            + r.sentAt()
            + " report_fence="
            + r.fence()
            + " report_ago="
            + Duration.between(w.reportedAt, now);
  }

  @Override
  public boolean isTaskOpen(Run run) {
    LiveStep step = run.step;
    return step != null
        && liveJobs.findStep(run.id.task()) == step
        && !step.isDone(run.id.task().index());
  }

  @Override
  public Run runFound(WorkerState w, RunId id, Instant now) {
    String inputs = "agent=" + w.agent + describeReport(w, now);
    decisions.accept(Decision.of("run_found", id, "taken_over", inputs));
    LiveStep step = liveJobs.findStep(id.task());
    int index = id.task().index();
    if (step == null || step.isDone(index) || step.isAssigned(index)) {
      Resources need = step == null ? Resources.NONE : step.spec.need();
      Run unwanted = new Run(id, null, need, 0, now);
      unwanted.isOfUnknownJob = step == null;
      return unwanted;
    }
    step.adopt(index, id.number());
    liveJobs.ready.tasksRemoved(step);
    liveJobs.markStarted(step.job);
    return new Run(id, step, step.spec.need(), 0, now);
  }

  /**
   * Reports a worker that has become much slower than the median of its service, or has recovered.
   */
  void reportSlowness(WorkerState w) {
    MinionProfile m = w.minion;
    if (m == null || !w.synced) {
      return;
    }
    double median = medianSpeed.applyAsDouble(m.service());
    double relative = w.currentSpeed() / median;
    boolean slow = relative < (w.isSlow ? RECOVERED_RELATIVE_SPEED : MIN_RELATIVE_SPEED);
    if (slow != w.isSlow) {
      w.isSlow = slow;
      String inputs =
          String.format(
              Locale.ROOT,
              "speed=%.2f median=%.2f completed=%d running=%d",
              w.currentSpeed(),
              median,
              w.speed.samples(),
              w.runs.size());
      decisions.accept(Decision.of("worker_speed", w.agent, slow ? "slow" : "recovered", inputs));
    }
  }

  /**
   * Orders stops of unwanted runs, and repeats the orders for runs that have not ended.
   *
   * @param stopsUnknownRuns whether this includes runs whose job was not known when they were found
   */
  void stopUnwantedRuns(WorkerState w, boolean stopsUnknownRuns, Instant now) {
    if (!w.synced) {
      return;
    }
    for (Run r : w.runs.values()) {
      boolean mayStop = stopsUnknownRuns || !r.isOfUnknownJob;
      if (mayStop && r.isUnwanted() && now.isAfter(r.stopSentAt.plus(STOP_RESEND_INTERVAL))) {
        r.stopSentAt = now;
        w.orderStop(r.id);
      }
    }
  }

  /**
   * Adds the end of a durable job's run to the pending commits; the end is acknowledged only after
   * the commit. The end is also added when the job has failed because of another task in the
   * meantime: until that failure is committed, a later leader would continue the job.
   */
  private void commitEnd(WorkerState w, @Nullable LiveStep step, EndedRun end) {
    MinionProfile m = w.minion;
    QueuedTaskId task = end.run().task();
    boolean isFinal = end.outcome() == RunOutcome.DONE || end.outcome() == RunOutcome.FAILED;
    boolean durable = step == null ? isLiveInLedger.test(task.job()) : step.job.job.durable();
    if (m == null || !isFinal || !durable) {
      return;
    }
    w.addUncommittedEnd(end.sequence());
    commits.addTaskEnd(
        new LedgerBatch.TaskEnd(task, end.run().number(), end.outcome() == RunOutcome.DONE),
        at -> w.endCommitted(m.life(), end.sequence()));
  }

  private void updateSpeedAndHealth(WorkerState w, Run run, EndedRun end, Instant now) {
    LiveStep step = run.step;
    if (step != null && end.outcome() == RunOutcome.DONE && run.orderNumber > 0) {
      Duration taken = Duration.between(run.orderedAt, now);
      // A run time only shows the ratio of the task's size to the worker's speed. The estimates
      // therefore use the speed relative to the median speed: with absolute speeds, the estimates
      // of run times and the speeds would drift together.
      double relative = w.currentSpeed() / medianSpeed.applyAsDouble(step.job.queue.service());
      w.speed.recordRun(step.estimatedRunTime, taken, now);
      if (relative >= MIN_RELATIVE_SPEED) {
        liveJobs.runTimeEstimates().recordRun(step.job.queue.name(), step.spec, taken, relative);
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
