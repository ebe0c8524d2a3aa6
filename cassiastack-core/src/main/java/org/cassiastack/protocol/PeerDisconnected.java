package org.cassiastack.protocol;

import org.cassiastack.controller.Event;
import org.cassiastack.model.NodeId;

/**
 * Event: the last open connection to another process was lost.
 *
 * @param peer the other process
 * @since 0.1
 */
public record PeerDisconnected(NodeId peer) implements Event {}
