package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.cassiastack.queue.Queue;
import org.cassiastack.queue.QueuedJob;
import org.cassiastack.queue.QueuedTaskId;
import org.cassiastack.queue.StepSpec;

/** A job that has not ended, as the leader works on it. */
final class LiveJob {
  /** A job that ends later than this many objectives is of no use to its caller. */
  private static final int USEFUL_OBJECTIVES = 3;

  final QueuedJob job;
  final Queue queue;
  final long sequence;
  final List<LiveStep> steps = new ArrayList<>();

  /** When its caller asked for it, or when this leader took it over. */
  final Instant requestedAt;

  final Instant dueAt;
  final Instant uselessAt;

  /** When its caller stops waiting; only a job that is not kept has one who waits. */
  final Instant callerTimeoutAt;

  boolean started;

  LiveJob(
      QueuedJob job,
      Queue queue,
      long sequence,
      RunTimeEstimates estimates,
      Instant askedAt,
      Instant abandonedAt) {
    this.job = job;
    this.queue = queue;
    this.sequence = sequence;
    this.requestedAt = askedAt;
    this.callerTimeoutAt = abandonedAt;
    for (int i = 0; i < job.steps().size(); i++) {
      StepSpec s = job.steps().get(i);
      steps.add(new LiveStep(this, i, s, estimates.estimate(queue.name(), s)));
    }
    Duration objective = objective();
    this.dueAt = askedAt.plus(objective);
    this.uselessAt = askedAt.plus(objective.multipliedBy(USEFUL_OBJECTIVES));
  }

  boolean isDone() {
    return steps.stream().allMatch(LiveStep::isDone);
  }

  /** Tells whether a step's tasks may start. */
  boolean isReady(LiveStep step) {
    return step.spec.after().stream().allMatch(s -> steps.get(s).isDone());
  }

  LiveStep step(QueuedTaskId task) {
    return steps.get(task.step());
  }

  /** Tells whether the job has a task of that name. */
  boolean hasTask(QueuedTaskId t) {
    return t.occurrence() == 0
        && t.step() >= 0
        && t.step() < steps.size()
        && t.index() >= 0
        && t.index() < steps.get(t.step()).spec.taskCount();
  }

  /** Returns how useful the job is when a task of a step starts now and ends as estimated. */
  Lateness lateness(LiveStep step, Instant now) {
    Instant end = now.plus(step.estimatedRunTime);
    if (end.isAfter(uselessAt)) {
      return Lateness.USELESS;
    }
    return end.isAfter(dueAt) ? Lateness.LATE : Lateness.ON_TIME;
  }

  /** Returns until when a task has to end lest the job gets less useful than it can be. */
  Instant latestUsefulEnd(Lateness lateness) {
    return switch (lateness) {
      case ON_TIME -> dueAt;
      case LATE -> uselessAt;
      case USELESS -> Instant.MAX;
    };
  }

  private Duration objective() {
    double nanos = chain().toNanos() * queue.stretch();
    return queue.targetLatency().plusNanos((long) nanos);
  }

  /** Returns the longest chain of work: steps wait for the steps before them. */
  private Duration chain() {
    List<Duration> ends = new ArrayList<>();
    Duration longest = Duration.ZERO;
    for (LiveStep s : steps) {
      Duration end = s.estimatedRunTime;
      for (int before : s.spec.after()) {
        Duration with = ends.get(before).plus(s.estimatedRunTime);
        end = with.compareTo(end) > 0 ? with : end;
      }
      ends.add(end);
      longest = end.compareTo(longest) > 0 ? end : longest;
    }
    return longest;
  }
}
