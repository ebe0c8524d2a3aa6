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
 * Withdraws tasks that may still be queued at an agent, with one message for each agent. A task
 * that has started continues. For a task that has not started, the agent records a tombstone and
 * reports {@link TaskNotStarted}, so that the task can be dispatched to another agent.
 */
public final class Withdrawals {
  private static final double STRAGGLER_FACTOR = 5;
  private static final Duration MIN_STRAGGLER_AGE = Duration.ofSeconds(1);

  private final Epoch epoch;
  private final Set<TaskId> requested = new HashSet<>();

  /** Creates withdrawals whose messages carry the given epoch. */
  public Withdrawals(Epoch epoch) {
    this.epoch = epoch;
  }

  /** Withdraws the dispatched attempts at tasks, except for tasks withdrawn by an earlier call. */
  public void withdraw(List<Assignment> assignments, List<Effect> effects) {
    List<Assignment> notRequested = new ArrayList<>(assignments);
    notRequested.removeIf(a -> !requested.add(a.dispatch().task()));
    send(notRequested, Dispatch::attempt, effects);
  }

  /** Withdraws every attempt at tasks, also at those that were withdrawn before. */
  public void withdrawEveryAttempt(List<Assignment> assignments, List<Effect> effects) {
    send(assignments, d -> TaskNotStarted.EVERY_ATTEMPT, effects);
  }

  private void send(
      List<Assignment> assignments, ToIntFunction<Dispatch> lastAttempt, List<Effect> effects) {
    Map<NodeId, List<Withdrawal>> byAgent = new LinkedHashMap<>();
    for (Assignment a : assignments) {
      NodeId agent = a.load().target().agent();
      Dispatch d = a.dispatch();
      Withdrawal w = new Withdrawal(d.task(), lastAttempt.applyAsInt(d), d.agentIncarnation());
      byAgent.computeIfAbsent(agent, x -> new ArrayList<>()).add(w);
    }
    byAgent.forEach((to, tasks) -> effects.add(new Send(to, new CancelTasks(tasks, epoch))));
  }

  /**
   * Clears the record that a withdrawal was requested for a task that is no longer assigned to an
   * agent, so that a later assignment of the task can be withdrawn.
   */
  public void taskReturned(TaskId task) {
    requested.remove(task);
  }

  /**
   * Returns whether a task that was not withdrawn has been assigned to its agent for so long that
   * the task may be queued rather than running.
   */
  public boolean isStraggler(Assignment a, Instant now) {
    Duration age = Duration.between(a.firstSentAt(), now);
    return !requested.contains(a.dispatch().task())
        && age.compareTo(MIN_STRAGGLER_AGE) > 0
        && age.toNanos() / 1e9 > STRAGGLER_FACTOR * a.load().expectedSeconds();
  }
}
