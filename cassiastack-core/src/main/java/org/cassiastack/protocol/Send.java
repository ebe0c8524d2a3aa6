package org.cassiastack.protocol;

import org.cassiastack.controller.Effect;
import org.cassiastack.model.NodeId;

/**
 * Effect: sends a message to another process. Delivery is not guaranteed: a sender that needs an
 * answer sends the message again until the answer arrives.
 *
 * @param to the receiving process
 * @param message the message
 * @since 0.1
 */
public record Send(NodeId to, Message message) implements Effect {}
