package org.cassiastack.consensus;

import java.util.UUID;
import org.cassiastack.controller.Event;
import org.cassiastack.model.Payload;

/**
 * A controller of a control member wants a command appended to the replicated log.
 *
 * @param proposalId identity of the proposal, unique in the whole system
 * @param command the encoded command, opaque to the log
 * @since 0.1
 */
public record ProposeCommand(UUID proposalId, Payload command) implements Event {}
