package org.cassiastack.membership;

import java.util.List;
import java.util.Map;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.NodeId;

/**
 * A new immutable view of the agents and minions, passed from the control loop to the traffic loop.
 *
 * @param available the minions that take new work
 * @param agents the agents that have a valid lease, including leaving agents, each with the
 *     incarnation of its process
 * @param settled whether every live agent has had the time to announce itself; only then is an
 *     agent that is missing in {@code agents} lost
 * @since 0.1
 */
public record MinionsChanged(
    List<AvailableMinion> available, Map<NodeId, Incarnation> agents, boolean settled)
    implements Event, Effect {
  /** Creates a view; the collections are copied. */
  public MinionsChanged {
    available = List.copyOf(available);
    agents = Map.copyOf(agents);
  }

  /** Creates a settled view. */
  public MinionsChanged(List<AvailableMinion> available, Map<NodeId, Incarnation> agents) {
    this(available, agents, true);
  }

  /** Returns whether an incarnation of an agent's process is known to have ended. */
  public boolean isLost(NodeId agent, Incarnation incarnation) {
    Incarnation announced = agents.get(agent);
    return announced == null ? settled : !announced.equals(incarnation);
  }
}
