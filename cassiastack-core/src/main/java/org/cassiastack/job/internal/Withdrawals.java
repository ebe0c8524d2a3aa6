package org.cassiastack.job.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.cassiastack.controller.Effect;
import org.cassiastack.job.internal.Assignments.Assignment;
import org.cassiastack.model.Epoch;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.TaskId;
import org.cassiastack.protocol.CancelTasks;
import org.cassiastack.protocol.CancelTasks.Withdrawal;
import org.cassiastack.protocol.Dispatch;
import org.cassiastack.protocol.Send;
import org.cassiastack.protocol.TaskNotStarted;

/**
 * Withdrawals of tasks that may still wait at an agent, one message for each agent. A task that has
 * started goes on; one that has not comes back with a tombstone and moves.
 */
public final class Withdrawals {
  private static final double STRAGGLER_FACTOR = 5;
  private static final Duration LEAST_STRAGGLER_AGE = Duration.ofSeconds(1);

  private final Epoch epoch;
  private final Set<TaskId> asked = new HashSet<>();

  /** Makes withdrawals under an epoch. */
  public Withdrawals(Epoch epoch) {
    this.epoch = epoch;
  }

  /** Withdraws tasks, each once. */
  public void withdraw(List<Assignment> assignments, List<Effect> effects) {
    List<Assignment> first = new ArrayList<>(assignments);
    first.removeIf(a -> !asked.add(a.dispatch().task()));
    send(first, Dispatch::attempt, effects);
  }

  /** Withdraws tasks for good, also those that were withdrawn before. */
  public void withdrawEveryAttempt(List<Assignment> assignments, List<Effect> effects) {
    send(assignments, d -> TaskNotStarted.EVERY_ATTEMPT, effects);
  }

  private void send(
      List<Assignment> assignments, ToIntFunction<Dispatch> lastAttempt, List<Effect> effects) {
    Map<NodeId, List<Withdrawal>> byAgent = new LinkedHashMap<>();
    for (Assignment a : assignments) {
      NodeId agent = a.load().target().agent();
      Withdrawal w = new Withdrawal(a.dispatch().task(), lastAttempt.applyAsInt(a.dispatch()));
      byAgent.computeIfAbsent(agent, x -> new ArrayList<>()).add(w);
    }
    byAgent.forEach((to, tasks) -> effects.add(new Send(to, new CancelTasks(tasks, epoch))));
  }

  /** Forgets a task that is no longer with an agent. */
  public void taskReturned(TaskId task) {
    asked.remove(task);
  }

  /** Tells whether a task is out for so long that it may be waiting and not running. */
  public boolean isStraggler(Assignment a, Instant now) {
    Duration age = Duration.between(a.firstSentAt(), now);
    return !asked.contains(a.dispatch().task())
        && age.compareTo(LEAST_STRAGGLER_AGE) > 0
        && age.toNanos() / 1e9 > STRAGGLER_FACTOR * a.load().expectedSeconds();
  }
}
