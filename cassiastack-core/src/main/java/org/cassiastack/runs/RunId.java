package org.cassiastack.runs;

import org.cassiastack.queue.QueuedTaskId;

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
}
