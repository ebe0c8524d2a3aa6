package org.cassiastack.schedule.internal;

import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.cassiastack.model.ServiceName;
import org.cassiastack.queue.LedgerJob;
import org.cassiastack.queue.Queue;
import org.cassiastack.queue.QueuedJob;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.queue.QueuedTaskId;
import org.jspecify.annotations.Nullable;

/** The jobs that have not ended, and the queue of their steps that have tasks ready to start. */
final class LiveJobs {
  private final Map<QueuedJobId, LiveJob> jobs = new LinkedHashMap<>();
  private final Map<String, Integer> unstartedJobs = new HashMap<>();
  private final RunTimeEstimates runTimeEstimates = new RunTimeEstimates();
  final ReadyQueue ready = new ReadyQueue();
  private long sequence;

  RunTimeEstimates runTimeEstimates() {
    return runTimeEstimates;
  }

  @Nullable LiveJob find(QueuedJobId id) {
    return jobs.get(id);
  }

  /** Returns the step of a task, or null when the job is not live or has no such task. */
  @Nullable LiveStep findStep(QueuedTaskId task) {
    LiveJob job = jobs.get(task.job());
    return job != null && job.hasTask(task) ? job.step(task) : null;
  }

  /** Creates a job with its objective and estimates, without adding it. */
  LiveJob newJob(
      QueuedJob spec, Queue queue, int maxAttempts, Instant requestedAt, Instant callerTimeoutAt) {
    sequence++;
    return new LiveJob(
        spec, queue, maxAttempts, sequence, runTimeEstimates, requestedAt, callerTimeoutAt);
  }

  void add(LiveJob job, Instant now) {
    jobs.put(job.job.id(), job);
    unstartedJobs.merge(job.queue.name(), 1, Integer::sum);
    for (LiveStep s : job.steps) {
      s.lateness = job.lateness(s, now);
    }
    queueReadySteps(job);
  }

  /**
   * Adds a job that an earlier leader accepted, with its done tasks and failed runs.
   *
   * @param beforeAdding called with the job before its steps are added to the ready queue
   */
  void restore(LedgerJob ledgerJob, Queue queue, Consumer<LiveJob> beforeAdding, Instant now) {
    LiveJob job = newJob(ledgerJob.job(), queue, ledgerJob.maxAttempts(), now, Instant.MAX);
    boolean anyDone = false;
    for (LiveStep s : job.steps) {
      for (int i = 0; i < s.spec.taskCount(); i++) {
        for (long run : ledgerJob.failedRuns(s.task(i))) {
          s.recordFailure(i, run);
        }
        if (ledgerJob.isDone(s.task(i))) {
          s.complete(i);
          anyDone = true;
        }
      }
    }
    beforeAdding.accept(job);
    add(job, now);
    if (anyDone) {
      markStarted(job);
    }
  }

  void remove(LiveJob job) {
    jobs.remove(job.job.id());
    unqueue(job);
    if (!job.started) {
      unstartedJobs.merge(job.queue.name(), -1, Integer::sum);
    }
  }

  /** Records that a task of a job has started. */
  void markStarted(LiveJob job) {
    if (!job.started) {
      job.started = true;
      unstartedJobs.merge(job.queue.name(), -1, Integer::sum);
    }
  }

  /** Returns the number of jobs of a queue of which no task has started. */
  int unstartedJobCount(String queue) {
    return unstartedJobs.getOrDefault(queue, 0);
  }

  /**
   * Adds to the ready queue the steps of a job that have waiting tasks and whose tasks may start. A
   * job whose starts are held has none.
   */
  void queueReadySteps(LiveJob job) {
    if (job.startsHeld) {
      return;
    }
    for (LiveStep s : job.steps) {
      if (!s.waiting.isEmpty() && job.isReady(s)) {
        ready.add(s);
      }
    }
  }

  /** Removes the steps of a job from the ready queue. */
  void unqueue(LiveJob job) {
    job.steps.forEach(ready::remove);
  }

  /** Returns a task to the waiting tasks after its run ended without success or was lost. */
  void requeueTask(LiveStep step, int index) {
    step.requeueTask(index);
    LiveJob job = step.job;
    if (jobs.get(job.job.id()) == job && !job.startsHeld && job.isReady(step)) {
      ready.add(step);
    }
  }

  /**
   * Returns the processor time of the waiting tasks that start before those of a new job of the
   * given priority, in thousandths of a core times nanoseconds. Tasks that no worker can take do
   * not count.
   */
  double cpuTimeAhead(ServiceName service, int priority, Predicate<Demand> canServe) {
    return ready.backlog().cpuTimeAhead(service, priority, canServe);
  }

  /**
   * Returns the jobs that would end too late to be useful if they started now. Durable jobs and
   * jobs that have started are not among them.
   */
  Set<LiveJob> tooLateToStart(Instant now) {
    Set<LiveJob> tooLate = new LinkedHashSet<>();
    for (LiveStep s : ready.all()) {
      LiveJob job = s.job;
      if (!job.started && !job.job.durable() && job.lateness(s, now) == Lateness.USELESS) {
        tooLate.add(job);
      }
    }
    return tooLate;
  }

  Collection<LiveJob> all() {
    return jobs.values();
  }

  /** Returns the jobs whose caller has stopped waiting. */
  List<LiveJob> callerTimedOut(Instant now) {
    return jobs.values().stream().filter(j -> now.isAfter(j.callerTimeoutAt)).toList();
  }
}
