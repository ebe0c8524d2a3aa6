package org.cassiastack.protocol;

import java.util.List;
import org.cassiastack.model.Epoch;
import org.cassiastack.model.TaskId;

/**
 * A coordinator withdraws tasks; each is answered by {@link TaskNotStarted} or {@link TaskEnded}.
 *
 * @param tasks the tasks to withdraw if they have not started
 * @param epoch epoch of the coordinator's partition
 * @since 0.1
 */
public record CancelTasks(List<Withdrawal> tasks, Epoch epoch) implements Message {
  /** Makes a message; the list is copied. */
  public CancelTasks {
    tasks = List.copyOf(tasks);
  }

  /**
   * One task that is withdrawn.
   *
   * @param task the task
   * @param attempt the last attempt that is withdrawn; a later one may start at the same agent
   */
  public record Withdrawal(TaskId task, int attempt) {
    /** Withdraws a task for good. */
    public static Withdrawal ofEveryAttempt(TaskId task) {
      return new Withdrawal(task, TaskNotStarted.EVERY_ATTEMPT);
    }
  }
}
