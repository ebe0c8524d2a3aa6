package org.cassiastack.protocol;

import org.cassiastack.controller.Event;
import org.cassiastack.model.NodeId;

/**
 * Event: no connection to another process is left.
 *
 * @param peer the other process
 * @since 0.1
 */
public record PeerDisconnected(NodeId peer) implements Event {}
