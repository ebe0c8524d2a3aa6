package org.cassiastack.membership;

import org.cassiastack.model.Incarnation;
import org.cassiastack.model.Minion;
import org.cassiastack.model.NodeId;

/**
 * A minion together with the agent that manages it.
 *
 * @param agent the agent
 * @param incarnation incarnation of the agent's process
 * @param minion the minion
 * @since 0.1
 */
public record AvailableMinion(NodeId agent, Incarnation incarnation, Minion minion) {}
