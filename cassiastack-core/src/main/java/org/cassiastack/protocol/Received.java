package org.cassiastack.protocol;

import org.cassiastack.controller.Event;
import org.cassiastack.model.NodeId;

/**
 * The event of a message having come from another process.
 *
 * @param from the process that sent it
 * @param message the message
 * @since 0.1
 */
public record Received(NodeId from, Message message) implements Event {}
