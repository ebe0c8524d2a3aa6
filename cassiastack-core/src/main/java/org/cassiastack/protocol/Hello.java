package org.cassiastack.protocol;

import org.cassiastack.model.Incarnation;
import org.cassiastack.model.NodeId;

/**
 * First message of each connection, from both ends.
 *
 * @param protocolVersion {@link #PROTOCOL_VERSION} of the sender; others are refused
 * @param node the sender
 * @param incarnation the life of the sender's process
 * @since 0.1
 */
public record Hello(int protocolVersion, NodeId node, Incarnation incarnation) implements Message {
  /** Version of the messages that this library speaks. */
  public static final int PROTOCOL_VERSION = 1;
}
