package org.cassiastack.model;

/**
 * Outcome of one task.
 *
 * @param index position of the task in its job, from 0
 * @param code {@link ResultCode#COMPLETE}, or why the task did not complete
 * @param output opaque output of the minion, empty unless the task completed
 * @since 0.1
 */
public record TaskResult(int index, ResultCode code, Payload output) {
  /** Creates the result of a task that completed. */
  public static TaskResult complete(int index, Payload output) {
    return new TaskResult(index, ResultCode.COMPLETE, output);
  }

  /** Creates the result of a task that did not complete and has no output. */
  public static TaskResult failed(int index, ResultCode code) {
    return new TaskResult(index, code, Payload.EMPTY);
  }
}
