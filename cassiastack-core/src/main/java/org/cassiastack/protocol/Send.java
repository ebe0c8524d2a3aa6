package org.cassiastack.protocol;

import org.cassiastack.controller.Effect;
import org.cassiastack.model.NodeId;

/**
 * The effect of sending a message to another process. Delivery is not assured: whoever needs an
 * answer sends again.
 *
 * @param to the process that is meant
 * @param message the message
 * @since 0.1
 */
public record Send(NodeId to, Message message) implements Effect {}
