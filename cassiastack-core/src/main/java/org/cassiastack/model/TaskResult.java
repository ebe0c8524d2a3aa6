package org.cassiastack.model;

/**
 * Outcome of one task.
 *
 * @param index position of the task in its job, from 0
 * @param code what became of the task
 * @param output opaque output of the minion; empty unless the task completed
 * @since 0.1
 */
public record TaskResult(int index, ResultCode code, Payload output) {
  /** A task that ran to its end. */
  public static TaskResult complete(int index, Payload output) {
    return new TaskResult(index, ResultCode.COMPLETE, output);
  }

  /** A task without output. */
  public static TaskResult failed(int index, ResultCode code) {
    return new TaskResult(index, code, Payload.EMPTY);
  }
}
