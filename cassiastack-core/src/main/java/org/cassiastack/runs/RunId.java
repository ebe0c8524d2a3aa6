package org.cassiastack.runs;

import org.cassiastack.queue.QueuedTaskId;

/**
 * One start of a task. A later start of the same task has a higher number.
 *
 * @param task the task
 * @param number number of the start, from 1
 * @since 0.2
 */
public record RunId(QueuedTaskId task, long number) {
  @Override
  public String toString() {
    return task + "#" + number;
  }
}
