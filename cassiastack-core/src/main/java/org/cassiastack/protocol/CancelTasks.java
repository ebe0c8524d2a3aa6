package org.cassiastack.protocol;

import java.util.List;
import org.cassiastack.model.Epoch;
import org.cassiastack.model.TaskId;

/**
 * A coordinator withdraws tasks; each is answered by {@link TaskNotStarted} or {@link TaskEnded}.
 *
 * @param tasks the tasks to withdraw if they have not started
 * @param epoch epoch of the coordinator's partition
 * @since 0.1
 */
public record CancelTasks(List<TaskId> tasks, Epoch epoch) implements Message {}
