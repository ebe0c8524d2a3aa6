package org.cassiastack.protocol;

import java.util.List;
import org.cassiastack.model.Epoch;
import org.cassiastack.model.TaskId;

/**
 * A coordinator withdraws tasks from an agent. The agent answers each withdrawal with {@link
 * TaskNotStarted} or {@link TaskEnded}.
 *
 * @param tasks the tasks to withdraw if they have not started
 * @param epoch epoch of the coordinator's job partition
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
   */
  public record Withdrawal(TaskId task, int attempt) {
    /** Creates a withdrawal of every attempt at a task. */
    public static Withdrawal ofEveryAttempt(TaskId task) {
      return new Withdrawal(task, TaskNotStarted.EVERY_ATTEMPT);
    }
  }
}
