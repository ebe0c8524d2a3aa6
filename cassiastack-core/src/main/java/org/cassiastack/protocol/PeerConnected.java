package org.cassiastack.protocol;

import org.cassiastack.controller.Event;
import org.cassiastack.model.NodeId;

/**
 * Event: a connection to another process was established while no other connection to it was open.
 *
 * @param peer the other process
 * @since 0.1
 */
public record PeerConnected(NodeId peer) implements Event {}
