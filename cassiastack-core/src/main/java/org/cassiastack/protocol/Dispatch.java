package org.cassiastack.protocol;

import java.time.Duration;
import org.cassiastack.model.Epoch;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.MinionId;
import org.cassiastack.model.Payload;
import org.cassiastack.model.TaskId;

/**
 * A coordinator dispatches a task to an agent. Sending the same dispatch to the same agent again is
 * idempotent.
 *
 * @param task the task
 * @param epoch epoch of the coordinator
 * @param attempt number of the attempt, which grows with each new attempt at a task within an epoch
 *     and stays the same when the dispatch is sent again
 * @param agentIncarnation incarnation of the agent that the dispatch is meant for; any other
 *     incarnation refuses the task
 * @param minion the minion that runs the task
 * @param payload input of the task
 * @param timeout time left until the job's deadline when the message is sent
 * @since 0.1
 */
public record Dispatch(
    TaskId task,
    Epoch epoch,
    int attempt,
    Incarnation agentIncarnation,
    MinionId minion,
    Payload payload,
    Duration timeout)
    implements Message {
  /** Returns the same dispatch with another time left until the deadline, for sending it again. */
  public Dispatch withTimeout(Duration remaining) {
    return new Dispatch(task, epoch, attempt, agentIncarnation, minion, payload, remaining);
  }
}
