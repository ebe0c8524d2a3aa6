package org.cassiastack.protocol;

import java.time.Duration;
import org.cassiastack.model.Epoch;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.MinionId;
import org.cassiastack.model.Payload;
import org.cassiastack.model.TaskId;

/**
 * A coordinator hands a task to an agent. Resending it to the same agent is idempotent.
 *
 * @param task the task
 * @param epoch epoch of the coordinator's partition
 * @param attempt grows with each new try of a task under an epoch; the same when sent again
 * @param agentIncarnation the life of the agent that is meant; another life refuses
 * @param minion the minion that runs the task
 * @param payload input of the task
 * @param timeout time left until the job's deadline
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
  /** Returns the same dispatch to be sent again with the time that is left now. */
  public Dispatch withTimeout(Duration left) {
    return new Dispatch(task, epoch, attempt, agentIncarnation, minion, payload, left);
  }
}
