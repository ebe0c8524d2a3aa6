package org.cassiastack.runs;

import org.cassiastack.queue.QueuedTaskId;
import org.jspecify.annotations.Nullable;

/**
 * Identity of a run, which is one attempt to execute a task. A later run of the same task has a
 * higher number.
 *
 * @param task identity of the task
 * @param number number of the run, from 1
 * @since 0.2
 */
public record RunId(QueuedTaskId task, long number) {
  @Override
  public String toString() {
    return task + "#" + number;
  }

  // Spelled out, because the generated methods are linked at the first use, which delays each
  // start.
  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof RunId o && number == o.number && task.equals(o.task);
  }

  @Override
  public int hashCode() {
    return task.hashCode() * 31 + Long.hashCode(number);
  }
}
