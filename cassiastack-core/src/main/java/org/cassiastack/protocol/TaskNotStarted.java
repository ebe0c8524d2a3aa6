package org.cassiastack.protocol;

import org.cassiastack.model.Epoch;
import org.cassiastack.model.ResultCode;
import org.cassiastack.model.TaskId;

/**
 * An agent proves that a task has not started at it, and that neither the named attempt nor an
 * earlier one ever will.
 *
 * @param task the task
 * @param epoch the epoch of the dispatch
 * @param attempt the last attempt that the proof covers; {@link #EVERY_ATTEMPT} after a withdrawal
 * @param reason why it was refused, a not-run code
 * @since 0.1
 */
public record TaskNotStarted(TaskId task, Epoch epoch, int attempt, ResultCode reason)
    implements Message {
  /** Stands for every attempt under an epoch. */
  public static final int EVERY_ATTEMPT = Integer.MAX_VALUE;
}
