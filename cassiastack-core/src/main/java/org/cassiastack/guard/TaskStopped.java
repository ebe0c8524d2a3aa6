package org.cassiastack.guard;

import org.cassiastack.controller.Event;
import org.cassiastack.model.Payload;
import org.cassiastack.model.ResultCode;
import org.cassiastack.model.TaskId;

/**
 * A task has ended at its minion, or could not be started because the minion was not reached.
 *
 * @param task the task
 * @param code {@link ResultCode#COMPLETE}, {@link ResultCode#TASK_FAILED}, {@link
 *     ResultCode#MINION_LOST}, or {@link ResultCode#NO_MINION} if the minion was not reached
 * @param output body of the response of the minion; empty if there was no response
 * @since 0.1
 */
public record TaskStopped(TaskId task, ResultCode code, Payload output) implements Event {}
