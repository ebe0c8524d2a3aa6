package org.cassiastack.consensus;

import java.util.UUID;
import org.cassiastack.controller.Event;
import org.cassiastack.model.Payload;

/**
 * A controller in a control member requests that a command be appended to the replicated log.
 *
 * @param proposalId id of the proposal, unique in the whole system
 * @param command the encoded command, opaque to the log
 * @since 0.1
 */
public record ProposeCommand(UUID proposalId, Payload command) implements Event {}
