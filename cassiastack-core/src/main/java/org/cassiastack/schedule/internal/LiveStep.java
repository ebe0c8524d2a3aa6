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

/** One step of a job that has not ended: which of its tasks wait, and what became of the others. */
final class LiveStep {
  final LiveJob job;
  final int number;
  final StepSpec spec;

  /** Run time of one task at a worker of speed 1, as estimated when the job came. */
  final Duration estimatedRunTime;

  final Deque<Integer> waiting = new ArrayDeque<>();
  private final boolean[] done;
  private final boolean[] assigned;
  private final Map<Integer, Set<Long>> failures = new HashMap<>();
  private final long[] runs;
  private final Map<Integer, Set<NodeId>> avoided = new HashMap<>();
  private int left;

  /** Whether its objective is still within reach; part of its place in the ready queue. */
  Lateness lateness = Lateness.ON_TIME;

  LiveStep(LiveJob job, int number, StepSpec spec, Duration work) {
    this.job = job;
    this.number = number;
    this.spec = spec;
    this.estimatedRunTime = work;
    this.done = new boolean[spec.taskCount()];
    this.assigned = new boolean[spec.taskCount()];
    this.runs = new long[spec.taskCount()];
    this.left = spec.taskCount();
    for (int i = 0; i < spec.taskCount(); i++) {
      waiting.add(i);
    }
  }

  QueuedTaskId task(int index) {
    return new QueuedTaskId(job.job.id(), 0, number, index);
  }

  boolean isDone() {
    return left == 0;
  }

  boolean isDone(int index) {
    return done[index];
  }

  /** Tells whether any of its tasks has been started. */
  boolean hasStartedTasks() {
    return left < spec.taskCount() || waiting.size() < spec.taskCount();
  }

  boolean isAssigned(int index) {
    return assigned[index];
  }

  /** Takes the next waiting task for a run and returns the number of that run. */
  long assign(int index, long firstRun) {
    waiting.remove(index);
    assigned[index] = true;
    runs[index] = Math.max(runs[index] + 1, firstRun);
    return runs[index];
  }

  /** Takes over a run that another leader has started. */
  void adopt(int index, long run) {
    waiting.remove(index);
    assigned[index] = true;
    runs[index] = Math.max(runs[index], run);
  }

  /** The run of a task is over without its work being done; the task waits again. */
  void requeueTask(int index) {
    assigned[index] = false;
    if (!done[index] && !waiting.contains(index)) {
      waiting.addFirst(index);
    }
  }

  /** Takes note that a task is done; tells whether that is news. */
  boolean complete(int index) {
    if (done[index]) {
      return false;
    }
    done[index] = true;
    assigned[index] = false;
    waiting.remove(index);
    left--;
    return true;
  }

  /** Lets a task start elsewhere than at an agent where it has failed or did not get on. */
  void avoidAgent(int index, NodeId agent) {
    avoided.computeIfAbsent(index, i -> new HashSet<>()).add(agent);
  }

  /** Returns the agents where a task should not start again. */
  Set<NodeId> avoidedAgents(int index) {
    return avoided.getOrDefault(index, Set.of());
  }

  /** Takes note of a run that has failed and returns how many have; one told twice counts once. */
  int recordFailure(int index, long run) {
    Set<Long> failed = failures.computeIfAbsent(index, i -> new HashSet<>());
    failed.add(run);
    return failed.size();
  }

  /** Returns when a task that starts now would be done at a worker of a speed. */
  Instant estimatedEnd(Instant now, double speed) {
    return now.plusNanos((long) (estimatedRunTime.toNanos() / speed));
  }
}
