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
import org.cassiastack.job.CallerRequestId;
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
  private static final double URGENT_TIMEOUT_FRACTION = 0.5;

  private final Job job;
  private final JobDigest digest;
  private final Instant deadline;
  private final @Nullable TaskResult[] results;
  private final Set<CallerRequestId> callers = new LinkedHashSet<>();
  private final Map<Integer, Set<AgentIncarnation>> tombstones = new HashMap<>();
  private int endedTasks;
  private int dispatchedTasks;
  private int attempts;

  /**
   * Creates the state of a job that has no dispatched task yet.
   *
   * @param job the job
   * @param digest digest of the content of the job
   * @param deadline the time at which the job fails if it has no answer by then
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

  /** Returns the digest of the content of the job. */
  public JobDigest digest() {
    return digest;
  }

  /** Returns the time at which the job fails if it has no answer by then. */
  public Instant deadline() {
    return deadline;
  }

  /**
   * Returns whether so little of the job's timeout is left that the job may take priority over
   * other jobs.
   */
  public boolean isUrgent(Instant now) {
    long timeLeft = Duration.between(now, deadline).toNanos();
    return timeLeft < job.timeout().toNanos() * URGENT_TIMEOUT_FRACTION;
  }

  /** Returns the callers that wait for the answer, in order of arrival; the set is modifiable. */
  public Set<CallerRequestId> callers() {
    return callers;
  }

  /** Returns the number of tasks that have a result. */
  public int endedTasks() {
    return endedTasks;
  }

  /** Returns an attempt number above those of all earlier attempts at tasks of this job. */
  public int nextAttempt() {
    attempts++;
    return attempts;
  }

  /** Counts a task that was dispatched to an agent. */
  public void taskDispatched() {
    dispatchedTasks++;
  }

  /** Reverses the count of a dispatched task after a proof that the task did not start. */
  public void taskNotStarted() {
    dispatchedTasks--;
  }

  /** Records that an agent holds a tombstone of a task and would refuse the same attempt again. */
  public void addTombstone(int index, AvailableMinion target) {
    tombstones.computeIfAbsent(index, i -> new HashSet<>()).add(AgentIncarnation.of(target));
  }

  /** Returns whether the agent of a minion holds a tombstone of a task. */
  public boolean hasTombstone(int index, AvailableMinion target) {
    return tombstones.getOrDefault(index, Set.of()).contains(AgentIncarnation.of(target));
  }

  /** Returns whether any agent holds a tombstone of a task. */
  public boolean hasTombstone(int index) {
    return tombstones.containsKey(index);
  }

  /**
   * Returns whether any task was dispatched for which no proof arrived that the task did not start.
   */
  public boolean mayHaveRun() {
    return dispatchedTasks > 0;
  }

  /**
   * Records the result of a task, unless the task already has a result.
   *
   * @return whether this was the first result of the task
   */
  public boolean taskEnded(TaskResult result) {
    if (results[result.index()] != null) {
      return false;
    }
    results[result.index()] = result;
    endedTasks++;
    return true;
  }

  /** Returns whether every task has a result. */
  public boolean isDone() {
    return endedTasks == results.length;
  }

  /** Returns the complete answer. Called only when every task has a result. */
  public JobAnswer completeAnswer() {
    List<TaskResult> all = new ArrayList<>(results.length);
    Arrays.stream(results).filter(r -> r != null).forEach(all::add);
    return JobAnswer.complete(job.key(), all);
  }

  private record AgentIncarnation(NodeId agent, Incarnation incarnation) {
    static AgentIncarnation of(AvailableMinion m) {
      return new AgentIncarnation(m.agent(), m.incarnation());
    }
  }
}
