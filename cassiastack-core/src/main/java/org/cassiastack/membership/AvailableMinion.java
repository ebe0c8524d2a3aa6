package org.cassiastack.membership;

import org.cassiastack.model.Incarnation;
import org.cassiastack.model.Minion;
import org.cassiastack.model.NodeId;

/**
 * A minion together with the agent that stands for it.
 *
 * @param agent the agent
 * @param incarnation the life of the agent's process
 * @param minion the minion
 * @since 0.1
 */
public record AvailableMinion(NodeId agent, Incarnation incarnation, Minion minion) {}
