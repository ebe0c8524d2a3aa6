package org.cassiastack.job.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cassiastack.job.CallerId;
import org.cassiastack.membership.AvailableMinion;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.Job;
import org.cassiastack.model.JobAnswer;
import org.cassiastack.model.JobId;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.TaskResult;
import org.jspecify.annotations.Nullable;

/** A job that has no answer yet. */
public final class RunningJob {
  private static final double URGENT_PART_LEFT = 0.5;

  private final Job job;
  private final JobDigest digest;
  private final Instant deadline;
  private final @Nullable TaskResult[] results;
  private final Set<CallerId> callers = new LinkedHashSet<>();
  private final Map<Integer, Set<Life>> tombstones = new HashMap<>();
  private int endedTasks;
  private int handedOver;
  private int attempts;

  /**
   * Starts to track a job.
   *
   * @param job the job
   * @param digest digest of its content
   * @param deadline the time after which it fails
   */
  public RunningJob(Job job, JobDigest digest, Instant deadline) {
    this.job = job;
    this.digest = digest;
    this.deadline = deadline;
    this.results = new TaskResult[job.tasks().size()];
  }

  /** Returns the job as it was submitted. */
  public Job job() {
    return job;
  }

  /** Returns the identity of the job. */
  public JobId id() {
    return JobId.of(job);
  }

  /** Returns the digest of its content. */
  public JobDigest digest() {
    return digest;
  }

  /** Returns the time after which the job fails. */
  public Instant deadline() {
    return deadline;
  }

  /** Tells whether the job has used up so much of its timeout that it goes before others. */
  public boolean isUrgent(Instant now) {
    long left = Duration.between(now, deadline).toNanos();
    return left < job.timeout().toNanos() * URGENT_PART_LEFT;
  }

  /** Returns who waits for the answer, in order of arrival. */
  public Set<CallerId> callers() {
    return callers;
  }

  /** Returns the number of tasks that ended. */
  public int endedTasks() {
    return endedTasks;
  }

  /** Returns a number above those of all attempts at tasks of this job so far. */
  public int nextAttempt() {
    attempts++;
    return attempts;
  }

  /** Counts a task that was handed to an agent. */
  public void taskDispatched() {
    handedOver++;
  }

  /** Counts a task whose agent proved that it did not start. */
  public void taskNotStarted() {
    handedOver--;
  }

  /** Keeps that an agent has a tombstone for a task, so that it would refuse it again. */
  public void addTombstone(int index, AvailableMinion target) {
    tombstones.computeIfAbsent(index, i -> new HashSet<>()).add(Life.of(target));
  }

  /** Tells whether an agent has a tombstone for a task. */
  public boolean hasTombstone(int index, AvailableMinion target) {
    return tombstones.getOrDefault(index, Set.of()).contains(Life.of(target));
  }

  /** Tells whether any agent has a tombstone for a task. */
  public boolean hasTombstone(int index) {
    return tombstones.containsKey(index);
  }

  /** Tells whether any task was handed over without a proof that it did not start. */
  public boolean mayHaveRun() {
    return handedOver > 0;
  }

  /**
   * Keeps the result of a task.
   *
   * @return whether this was its first result
   */
  public boolean taskEnded(TaskResult result) {
    if (results[result.index()] != null) {
      return false;
    }
    results[result.index()] = result;
    endedTasks++;
    return true;
  }

  /** Tells whether every task has a result. */
  public boolean isDone() {
    return endedTasks == results.length;
  }

  /** Returns the complete answer; every task must have a result. */
  public JobAnswer completeAnswer() {
    List<TaskResult> all = new ArrayList<>(results.length);
    Arrays.stream(results).filter(r -> r != null).forEach(all::add);
    return JobAnswer.complete(job.key(), all);
  }

  private record Life(NodeId agent, Incarnation incarnation) {
    static Life of(AvailableMinion m) {
      return new Life(m.agent(), m.incarnation());
    }
  }
}
