package org.cassiastack.guard;

import org.cassiastack.controller.Event;
import org.cassiastack.model.Payload;
import org.cassiastack.model.ResultCode;
import org.cassiastack.model.TaskId;

/**
 * A task has stopped at its minion, or could not be started there.
 *
 * @param task the task
 * @param code complete, failed, lost, or a not-run code if the minion was never reached
 * @param output output of the task
 * @since 0.1
 */
public record TaskStopped(TaskId task, ResultCode code, Payload output) implements Event {}
