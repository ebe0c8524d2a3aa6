package org.cassiastack.schedule.internal;

import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cassiastack.model.ServiceName;
import org.cassiastack.queue.LedgerJob;
import org.cassiastack.queue.Queue;
import org.cassiastack.queue.QueuedJob;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.queue.QueuedTaskId;
import org.jspecify.annotations.Nullable;

/** The jobs that have not ended, and which of their steps are ready. */
final class LiveJobs {
  private final Map<QueuedJobId, LiveJob> jobs = new LinkedHashMap<>();
  private final Map<String, Integer> unstartedJobCount = new HashMap<>();
  private final RunTimeEstimates runTimeEstimates = new RunTimeEstimates();
  final ReadyQueue ready = new ReadyQueue();
  private long sequence;

  RunTimeEstimates runTimeEstimates() {
    return runTimeEstimates;
  }

  @Nullable LiveJob find(QueuedJobId id) {
    return jobs.get(id);
  }

  /** Returns the step that a task belongs to while its job is live, or null. */
  @Nullable LiveStep findStep(QueuedTaskId task) {
    LiveJob job = jobs.get(task.job());
    return job != null && job.hasTask(task) ? job.step(task) : null;
  }

  /** Makes a job with its objective and estimates, without adding it. */
  LiveJob newJob(QueuedJob spec, Queue queue, Instant askedAt, Instant abandonedAt) {
    sequence++;
    return new LiveJob(spec, queue, sequence, runTimeEstimates, askedAt, abandonedAt);
  }

  void add(LiveJob job, Instant now) {
    jobs.put(job.job.id(), job);
    unstartedJobCount.merge(job.queue.name(), 1, Integer::sum);
    for (LiveStep s : job.steps) {
      s.lateness = job.lateness(s, now);
    }
    queueReadySteps(job);
  }

  /** Adds a job that an earlier leader has worked on. */
  void restore(LedgerJob kept, Queue queue, Instant now) {
    LiveJob job = newJob(kept.job(), queue, now, Instant.MAX);
    add(job, now);
    for (LiveStep s : job.steps) {
      for (int i = 0; i < s.spec.taskCount(); i++) {
        for (long run : kept.failedRuns(s.task(i))) {
          s.recordFailure(i, run);
        }
        if (kept.isDone(s.task(i))) {
          s.complete(i);
          markStarted(job);
        }
      }
      ready.tasksRemoved(s);
    }
    queueReadySteps(job);
  }

  void remove(LiveJob job) {
    jobs.remove(job.job.id());
    job.steps.forEach(ready::remove);
    if (!job.started) {
      unstartedJobCount.merge(job.queue.name(), -1, Integer::sum);
    }
  }

  void markStarted(LiveJob job) {
    if (!job.started) {
      job.started = true;
      unstartedJobCount.merge(job.queue.name(), -1, Integer::sum);
    }
  }

  /** Returns the number of jobs of a queue of which no task has started. */
  int unstartedJobCount(String queue) {
    return unstartedJobCount.getOrDefault(queue, 0);
  }

  /** Puts the steps whose tasks may start into the ready queue. */
  void queueReadySteps(LiveJob job) {
    for (LiveStep s : job.steps) {
      if (!s.waiting.isEmpty() && job.isReady(s)) {
        ready.add(s);
      }
    }
  }

  /** A run of a task is over without its work being done. */
  void requeueTask(LiveStep step, int index) {
    step.requeueTask(index);
    if (jobs.get(step.job.job.id()) == step.job && step.job.isReady(step)) {
      ready.add(step);
    }
  }

  /**
   * Returns the work that waits in front of a new job of a priority, in thousandths of a core times
   * nanoseconds.
   */
  double workAhead(ServiceName service, int priority) {
    return ready.backlog().workAhead(service, priority);
  }

  /** Returns the jobs that have waited so long that starting them now is of no use to anybody. */
  Set<LiveJob> tooLateToStart(Instant now) {
    Set<LiveJob> hopeless = new LinkedHashSet<>();
    for (LiveStep s : ready.all()) {
      LiveJob job = s.job;
      if (!job.started && !job.job.durable() && job.lateness(s, now) == Lateness.USELESS) {
        hopeless.add(job);
      }
    }
    return hopeless;
  }

  /** Returns the jobs that nobody waits for any more. */
  List<LiveJob> callerTimedOut(Instant now) {
    return jobs.values().stream().filter(j -> now.isAfter(j.callerTimeoutAt)).toList();
  }
}
