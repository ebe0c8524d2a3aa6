package org.cassiastack.consensus;

import java.util.UUID;
import org.cassiastack.controller.Event;
import org.cassiastack.model.Payload;

/**
 * A command is synced on a quorum and never reverts. Each member sees the same commands in the same
 * order, once in each life of its process beyond the last {@link SnapshotRestored}.
 *
 * @param index position in the log, from 1
 * @param proposalId identity of the proposal that brought it
 * @param command the encoded command
 * @since 0.1
 */
public record CommandCommitted(long index, UUID proposalId, Payload command) implements Event {}
