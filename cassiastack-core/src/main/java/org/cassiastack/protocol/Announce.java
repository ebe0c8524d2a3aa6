package org.cassiastack.protocol;

import java.util.List;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.Minion;
import org.cassiastack.model.NodeId;

/**
 * An agent tells an entry which minions it stands for. Sent on connecting and with each heartbeat.
 *
 * @param agent the agent
 * @param incarnation the life of the agent's process
 * @param sequence grows by one with each announcement of an incarnation
 * @param leaving whether the agent takes no new work
 * @param minions every minion of the agent
 * @since 0.1
 */
public record Announce(
    NodeId agent, Incarnation incarnation, long sequence, boolean leaving, List<Minion> minions)
    implements Message {}
