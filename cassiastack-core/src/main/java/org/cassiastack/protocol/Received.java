package org.cassiastack.protocol;

import org.cassiastack.controller.Event;
import org.cassiastack.model.NodeId;

/**
 * Event: a message has arrived from another process.
 *
 * @param from the process that sent the message
 * @param message the message
 * @since 0.1
 */
public record Received(NodeId from, Message message) implements Event {}
