package org.cassiastack.protocol;

import org.cassiastack.model.Incarnation;
import org.cassiastack.model.NodeId;

/**
 * The first message that each end sends on a connection.
 *
 * @param protocolVersion {@link #PROTOCOL_VERSION} of the sender; any other version is refused
 * @param node the sender
 * @param incarnation incarnation of the sender's process
 * @since 0.1
 */
public record Hello(int protocolVersion, NodeId node, Incarnation incarnation) implements Message {
  /** Protocol version that this library implements. */
  public static final int PROTOCOL_VERSION = 1;
}
