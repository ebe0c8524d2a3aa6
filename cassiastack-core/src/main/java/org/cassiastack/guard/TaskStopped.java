package org.cassiastack.guard;

import org.cassiastack.controller.Event;
import org.cassiastack.model.Payload;
import org.cassiastack.model.ResultCode;
import org.cassiastack.model.TaskId;

/**
 * A minion is through with a task.
 *
 * @param task the task
 * @param code complete, failed, lost, or a not-run code when the minion was never reached
 * @param output output of the minion
 * @since 0.1
 */
public record TaskStopped(TaskId task, ResultCode code, Payload output) implements Event {}
