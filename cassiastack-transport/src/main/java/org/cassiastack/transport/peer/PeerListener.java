package org.cassiastack.transport.peer;

import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.Message;

/**
 * Receives the events of the connections of a {@link PeerNetwork}. The methods are called on the
 * I/O threads of the network.
 *
 * @since 0.1
 */
public interface PeerListener {
  /**
   * Called when the first connection to a process is established, and again when a connection is
   * established after all earlier connections were lost.
   */
  void onConnected(NodeId peer);

  /** Called when the last connection to a process is lost. */
  void onDisconnected(NodeId peer);

  /** Called for each received message, except pings and the first message of each connection. */
  void onMessage(NodeId peer, Message message);
}
