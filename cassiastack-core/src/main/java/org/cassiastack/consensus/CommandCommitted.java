package org.cassiastack.consensus;

import java.util.UUID;
import org.cassiastack.controller.Event;
import org.cassiastack.model.Payload;

/**
 * A command is durable on a quorum and can no longer be lost. Each member raises this event for the
 * same commands in the same order, once per incarnation of its process for each command after the
 * last {@link SnapshotRestored}.
 *
 * @param index position in the log, from 1
 * @param proposalId id of the proposal that contained the command
 * @param command the encoded command
 * @since 0.1
 */
public record CommandCommitted(long index, UUID proposalId, Payload command) implements Event {}
