package org.cassiastack.protocol;

import org.cassiastack.model.Epoch;
import org.cassiastack.model.Payload;
import org.cassiastack.model.ResultCode;
import org.cassiastack.model.TaskId;

/**
 * An agent reports that a task was started and has ended, or that the key of the task has expired
 * so that the agent may have removed its record of the task.
 *
 * @param task the task
 * @param epoch the highest epoch that the agent has received for the task
 * @param code {@link ResultCode#COMPLETE}, why the task failed, or {@link ResultCode#KEY_EXPIRED}
 * @param output output of the minion; may be empty
 * @since 0.1
 */
public record TaskEnded(TaskId task, Epoch epoch, ResultCode code, Payload output)
    implements Message {}
