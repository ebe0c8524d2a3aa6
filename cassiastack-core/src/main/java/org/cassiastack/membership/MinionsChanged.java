package org.cassiastack.membership;

import java.util.List;
import java.util.Map;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.NodeId;

/**
 * A new immutable view of the minions; handed from the control loop to traffic.
 *
 * @param available the minions that take new work
 * @param agents the agents whose lease is live, leaving ones included
 * @param settled whether every living agent has had the time to announce itself, so that one that
 *     is missing is lost
 * @since 0.1
 */
public record MinionsChanged(
    List<AvailableMinion> available, Map<NodeId, Incarnation> agents, boolean settled)
    implements Event, Effect {
  /** Makes a view; the collections are copied. */
  public MinionsChanged {
    available = List.copyOf(available);
    agents = Map.copyOf(agents);
  }

  /** Makes a settled view. */
  public MinionsChanged(List<AvailableMinion> available, Map<NodeId, Incarnation> agents) {
    this(available, agents, true);
  }

  /** Tells whether the life of an agent's process is known to be over. */
  public boolean isLost(NodeId agent, Incarnation incarnation) {
    Incarnation known = agents.get(agent);
    return known == null ? settled : !known.equals(incarnation);
  }
}
