package org.cassiastack.protocol;

import org.cassiastack.model.Epoch;
import org.cassiastack.model.ResultCode;
import org.cassiastack.model.TaskId;

/**
 * Proof by an agent that a task has not started at this agent, and that neither the given attempt
 * nor any earlier attempt will ever start there.
 *
 * @param task the task
 * @param epoch the highest epoch that the agent has received for the task
 * @param attempt the last attempt that the proof covers; {@link #EVERY_ATTEMPT} after a withdrawal
 *     of every attempt
 * @param reason why the task was not started, a code for which {@link ResultCode#isNotRun} holds
 * @since 0.1
 */
public record TaskNotStarted(TaskId task, Epoch epoch, int attempt, ResultCode reason)
    implements Message {
  /** Value of {@code attempt} that covers every attempt within an epoch. */
  public static final int EVERY_ATTEMPT = Integer.MAX_VALUE;
}
