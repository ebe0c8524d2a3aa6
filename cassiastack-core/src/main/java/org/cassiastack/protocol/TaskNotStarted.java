package org.cassiastack.protocol;

import org.cassiastack.model.Epoch;
import org.cassiastack.model.ResultCode;
import org.cassiastack.model.TaskId;

/**
 * An agent proves that a task has not started at it and never will under this epoch.
 *
 * @param task the task
 * @param epoch the epoch of the dispatch
 * @param reason why it was refused, a not-run code
 * @since 0.1
 */
public record TaskNotStarted(TaskId task, Epoch epoch, ResultCode reason) implements Message {}
