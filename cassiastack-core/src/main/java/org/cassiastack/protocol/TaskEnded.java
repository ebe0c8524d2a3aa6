package org.cassiastack.protocol;

import org.cassiastack.model.Epoch;
import org.cassiastack.model.Payload;
import org.cassiastack.model.ResultCode;
import org.cassiastack.model.TaskId;

/**
 * An agent reports that a task was started and has ended.
 *
 * @param task the task
 * @param epoch the epoch of the dispatch
 * @param code {@link ResultCode#COMPLETE}, or why the task failed
 * @param output output of the minion
 * @since 0.1
 */
public record TaskEnded(TaskId task, Epoch epoch, ResultCode code, Payload output)
    implements Message {}
