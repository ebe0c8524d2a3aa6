package org.cassiastack.protocol;

import java.util.List;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.Minion;
import org.cassiastack.model.NodeId;

/**
 * An agent announces to an entry the minions that the agent manages. Sent when a connection is
 * established and with each heartbeat.
 *
 * @param agent the agent
 * @param incarnation incarnation of the agent's process
 * @param sequence sequence number of the announcement, which grows by one within an incarnation
 * @param leaving whether the agent is leaving and accepts no new tasks
 * @param minions all minions of the agent
 * @since 0.1
 */
public record Announce(
    NodeId agent, Incarnation incarnation, long sequence, boolean leaving, List<Minion> minions)
    implements Message {}
