package org.cassiastack.runs;

import java.util.List;
import org.cassiastack.model.Incarnation;
import org.cassiastack.protocol.Message;

/**
 * Message from the leader to an agent: runs of the agent's minion to start and to stop. An agent
 * does not carry out orders for another incarnation of itself or of the minion.
 *
 * @param fence fence of the leader
 * @param agentIncarnation the incarnation of the agent's process that the orders are for
 * @param number sequence number of the orders; each leader counts from 1 for each incarnation of
 *     the agent, and a fallback dispatcher goes on above the numbers of its former engagements
 * @param minionIncarnation the incarnation of the minion that the orders are for
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
  /** Creates orders; the lists are copied. */
  public RunOrders {
    starts = List.copyOf(starts);
    stops = List.copyOf(stops);
  }
}
