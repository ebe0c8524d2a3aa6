package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.cassiastack.model.NodeId;
import org.cassiastack.queue.QueuedTaskId;
import org.cassiastack.queue.StepSpec;

/** The state of one step of a live job: its waiting, assigned and done tasks. */
final class LiveStep {
  final LiveJob job;
  final int number;
  final StepSpec spec;
  final Demand demand;

  /** Run time of one task at a worker of speed 1, as estimated when the job was created. */
  final Duration estimatedRunTime;

  /** Indices of the tasks that wait for a run, in the order in which they start. */
  final Deque<Integer> waiting = new ArrayDeque<>();

  private final boolean[] done;
  private final boolean[] assigned;
  private final Map<Integer, Set<Long>> failedRuns = new HashMap<>();
  private final long[] lastRunNumbers;
  private final Map<Integer, Set<NodeId>> avoided = new HashMap<>();
  private int tasksLeft;

  /**
   * Lateness of the job as of the last update. The order of the ready queue depends on this value,
   * so it must not change while the step is in that queue.
   */
  Lateness lateness = Lateness.ON_TIME;

  LiveStep(LiveJob job, int number, StepSpec spec, Duration estimatedRunTime) {
    this.job = job;
    this.number = number;
    this.spec = spec;
    this.demand = Demand.of(job.queue, spec);
    this.estimatedRunTime = estimatedRunTime;
    this.done = new boolean[spec.taskCount()];
    this.assigned = new boolean[spec.taskCount()];
    this.lastRunNumbers = new long[spec.taskCount()];
    this.tasksLeft = spec.taskCount();
    for (int i = 0; i < spec.taskCount(); i++) {
      waiting.add(i);
    }
  }

  QueuedTaskId task(int index) {
    return new QueuedTaskId(job.job.id(), 0, number, index);
  }

  boolean isDone() {
    return tasksLeft == 0;
  }

  boolean isDone(int index) {
    return done[index];
  }

  /** Returns whether any task has been started. */
  boolean hasStartedTasks() {
    return tasksLeft < spec.taskCount() || waiting.size() < spec.taskCount();
  }

  boolean isAssigned(int index) {
    return assigned[index];
  }

  /**
   * Assigns a new run to a waiting task.
   *
   * @param index index of the task
   * @param firstRun lowest run number that this leader may use
   * @return number of the run
   */
  long assign(int index, long firstRun) {
    waiting.remove(index);
    assigned[index] = true;
    lastRunNumbers[index] = Math.max(lastRunNumbers[index] + 1, firstRun);
    return lastRunNumbers[index];
  }

  /** Assigns an existing run to a task. An earlier leader may have started the run. */
  void adopt(int index, long run) {
    waiting.remove(index);
    assigned[index] = true;
    lastRunNumbers[index] = Math.max(lastRunNumbers[index], run);
  }

  /** Returns a task to the waiting tasks after its run ended without success or was lost. */
  void requeueTask(int index) {
    assigned[index] = false;
    if (!done[index] && !waiting.contains(index)) {
      waiting.addFirst(index);
    }
  }

  /** Records that a task is done; returns false when that was already recorded. */
  boolean complete(int index) {
    if (done[index]) {
      return false;
    }
    done[index] = true;
    assigned[index] = false;
    waiting.remove(index);
    tasksLeft--;
    return true;
  }

  /**
   * Records that a task has failed or stalled at an agent and should start at another agent if
   * possible.
   */
  void avoidAgent(int index, NodeId agent) {
    avoided.computeIfAbsent(index, i -> new HashSet<>()).add(agent);
  }

  /** Returns the agents where a task has failed or stalled. */
  Set<NodeId> avoidedAgents(int index) {
    return avoided.getOrDefault(index, Set.of());
  }

  /**
   * Records a failed run of a task. A run that is recorded twice counts once.
   *
   * @return number of failed runs of the task
   */
  int recordFailure(int index, long run) {
    Set<Long> failed = failedRuns.computeIfAbsent(index, i -> new HashSet<>());
    failed.add(run);
    return failed.size();
  }

  /** Returns when a task that starts now would end at a worker of the given speed. */
  Instant estimatedEnd(Instant now, double speed) {
    return now.plusNanos((long) (estimatedRunTime.toNanos() / speed));
  }
}
