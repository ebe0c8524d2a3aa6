package org.cassiastack.runs;

import java.util.List;
import org.cassiastack.model.Incarnation;
import org.cassiastack.protocol.Message;

/**
 * The leader orders runs of one minion to be started and stopped.
 *
 * @param fence fence of the leader
 * @param agentIncarnation the life of the agent's process that is meant
 * @param number number of these orders, growing by one for each life of the agent
 * @param minionIncarnation the life of the minion that is meant
 * @param starts runs to start
 * @param stops runs to stop
 * @since 0.2
 */
public record RunOrders(
    long fence,
    Incarnation agentIncarnation,
    long number,
    MinionIncarnation minionIncarnation,
    List<StartOrder> starts,
    List<RunId> stops)
    implements Message {
  /** Makes orders; the lists are copied. */
  public RunOrders {
    starts = List.copyOf(starts);
    stops = List.copyOf(stops);
  }
}
