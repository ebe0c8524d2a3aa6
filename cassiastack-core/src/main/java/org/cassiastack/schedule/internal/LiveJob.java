package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.cassiastack.queue.Queue;
import org.cassiastack.queue.QueuedJob;
import org.cassiastack.queue.QueuedTaskId;
import org.cassiastack.queue.StepSpec;
import org.jspecify.annotations.Nullable;

/** The leader's state of a job that has not ended. */
final class LiveJob {
  /** A job is useless to its caller when it takes longer than this multiple of its objective. */
  private static final int MAX_USEFUL_OBJECTIVES = 3;

  final QueuedJob job;
  final Queue queue;

  /** Number of failed runs of one task at which the job fails. */
  final int maxAttempts;

  /** Order in which this leader created its jobs; breaks ties between equally urgent jobs. */
  final long sequence;

  final List<LiveStep> steps = new ArrayList<>();

  /** When the caller requested the job, or when this leader took it over. */
  final Instant requestedAt;

  /** End of the objective: a job that ends later is late. */
  final Instant dueAt;

  /**
   * A job that ends after this time is useless to its caller. The caller of a long job stops
   * waiting before the multiple of the objective has passed.
   */
  final Instant uselessAt;

  /**
   * When the caller stops waiting for the end of the job; {@link Instant#MAX} for a durable job,
   * whose caller does not wait for the end.
   */
  final Instant callerTimeoutAt;

  /**
   * When the last probe was sent that showed that a caller waits; {@link Instant#MIN} before the
   * first, null if callers are not probed for this job.
   */
  @Nullable Instant confirmedAt;

  /**
   * The confirmation that leases of agents with runs of this job rest on: {@link #confirmedAt}, or
   * earlier where the caller's timeout is close.
   */
  @Nullable Instant leaseBasis;

  /** When the job is given up unless it is confirmed before. */
  Instant keptUntil = Instant.MAX;

  /** Whether any task may have been started, as far as this leader knows. */
  boolean started;

  /**
   * The last caller whose entry has sent the job to another dispatcher before; null if there was
   * none.
   */
  @Nullable Caller resubmittedBy;

  /** Whether no task may start, because runs may exist that this leader does not know. */
  boolean startsHeld;

  LiveJob(
      QueuedJob job,
      Queue queue,
      int maxAttempts,
      long sequence,
      RunTimeEstimates estimates,
      Instant requestedAt,
      Instant callerTimeoutAt) {
    this.job = job;
    this.queue = queue;
    this.maxAttempts = maxAttempts;
    this.sequence = sequence;
    this.requestedAt = requestedAt;
    this.callerTimeoutAt = callerTimeoutAt;
    for (int i = 0; i < job.steps().size(); i++) {
      StepSpec s = job.steps().get(i);
      steps.add(new LiveStep(this, i, s, estimates.estimate(queue.name(), s)));
    }
    Duration objective = objective();
    this.dueAt = requestedAt.plus(objective);
    Instant end = requestedAt.plus(objective.multipliedBy(MAX_USEFUL_OBJECTIVES));
    this.uselessAt = callerTimeoutAt.isBefore(end) ? callerTimeoutAt : end;
  }

  /** Returns {@link #confirmedAt} for the log. */
  Object lastConfirmation() {
    Instant at = confirmedAt;
    if (at == null) {
      return "none";
    }
    return at.equals(Instant.MIN) ? "never" : at;
  }

  /** Returns the age of the last confirmation as an input of a decision; empty without probes. */
  String describeConfirmation(Instant now) {
    Instant at = confirmedAt;
    if (at == null) {
      return "";
    }
    return " confirmed_ago=" + (at.equals(Instant.MIN) ? "never" : Duration.between(at, now));
  }

  void keepUntil(Instant time) {
    keptUntil = time.isAfter(keptUntil) ? time : keptUntil;
  }

  /**
   * Moves the time at which the job is given up: a leap of the clock is no silence of its entry.
   */
  void onClockLeaped(Duration leap) {
    boolean isLimited = !keptUntil.equals(Instant.MAX) && !keptUntil.equals(Instant.MIN);
    keptUntil = isLimited ? keptUntil.plus(leap) : keptUntil;
  }

  boolean isDone() {
    return steps.stream().allMatch(LiveStep::isDone);
  }

  /** Returns whether the tasks of a step may start: all steps that it depends on are done. */
  boolean isReady(LiveStep step) {
    return step.spec.dependsOn().stream().allMatch(s -> steps.get(s).isDone());
  }

  LiveStep step(QueuedTaskId task) {
    return steps.get(task.step());
  }

  /** Returns whether a task id names a task of this job; the job of the id is not compared. */
  boolean hasTask(QueuedTaskId task) {
    return task.occurrence() == 0
        && task.step() >= 0
        && task.step() < steps.size()
        && task.index() >= 0
        && task.index() < steps.get(task.step()).spec.taskCount();
  }

  /** Returns the lateness of the job if a task of a step starts now and runs as estimated. */
  Lateness lateness(LiveStep step, Instant now) {
    Instant end = now.plus(step.estimatedRunTime);
    if (end.isAfter(uselessAt)) {
      return Lateness.USELESS;
    }
    return end.isAfter(dueAt) ? Lateness.LATE : Lateness.ON_TIME;
  }

  /**
   * Returns the latest time at which a task can end without making the job later than a lateness.
   */
  Instant latestUsefulEnd(Lateness lateness) {
    return switch (lateness) {
      case ON_TIME -> dueAt;
      case LATE -> uselessAt;
      case USELESS -> Instant.MAX;
    };
  }

  /**
   * Returns the target duration of the job: the queue's target latency plus the run time of the
   * critical path times the queue's stretch.
   */
  private Duration objective() {
    double nanos = criticalPath().toNanos() * queue.stretch();
    return queue.targetLatency().plusNanos((long) nanos);
  }

  /** Returns the largest sum of estimated run times along a chain of dependent steps. */
  private Duration criticalPath() {
    List<Duration> ends = new ArrayList<>();
    Duration max = Duration.ZERO;
    for (LiveStep s : steps) {
      Duration end = s.estimatedRunTime;
      for (int before : s.spec.dependsOn()) {
        Duration endAfterStep = ends.get(before).plus(s.estimatedRunTime);
        end = endAfterStep.compareTo(end) > 0 ? endAfterStep : end;
      }
      ends.add(end);
      max = end.compareTo(max) > 0 ? end : max;
    }
    return max;
  }
}
