package org.cassiastack.protocol;

import java.util.List;
import org.cassiastack.model.Epoch;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.TaskId;

/**
 * A coordinator withdraws tasks from an agent. The agent answers each withdrawal with {@link
 * TaskNotStarted}, or with {@link TaskEnded} once a task that had started has ended. A withdrawal
 * of a task that the agent has no record of is not answered if the key of the task has expired, the
 * agent cannot record the withdrawal, or the task was dispatched to another incarnation of the
 * agent.
 *
 * @param tasks the tasks to withdraw if they have not started
 * @param epoch epoch of the coordinator
 * @since 0.1
 */
public record CancelTasks(List<Withdrawal> tasks, Epoch epoch) implements Message {
  /** Creates a message; the list is copied. */
  public CancelTasks {
    tasks = List.copyOf(tasks);
  }

  /**
   * The withdrawal of one task.
   *
   * @param task the task
   * @param attempt the last attempt that is withdrawn; a later attempt may still start at the same
   *     agent
   * @param agentIncarnation the incarnation of the agent's process that the task was dispatched to
   */
  public record Withdrawal(TaskId task, int attempt, Incarnation agentIncarnation) {}
}
