package org.cassiastack.transport.peer;

import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.Message;

/**
 * Is told what happens on the connections of a {@link PeerNetwork}, on its input threads.
 *
 * @since 0.1
 */
public interface PeerListener {
  /** A first connection to a process was established. */
  void onConnected(NodeId peer);

  /** The last connection to a process was lost. */
  void onDisconnected(NodeId peer);

  /** A message came. */
  void onMessage(NodeId peer, Message message);
}
