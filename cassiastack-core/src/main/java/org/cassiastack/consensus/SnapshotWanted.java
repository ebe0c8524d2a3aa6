package org.cassiastack.consensus;

import org.cassiastack.controller.Event;

/**
 * The log has grown; the owner of the state machine should answer with {@link SnapshotTaken}.
 *
 * @param index the last command that the snapshot has to hold
 * @since 0.1
 */
public record SnapshotWanted(long index) implements Event {}
