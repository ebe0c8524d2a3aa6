package org.cassiastack.consensus;

import org.cassiastack.controller.Event;

/**
 * The log has grown beyond the snapshot threshold; the owner of the state machine is expected to
 * answer with {@link SnapshotTaken}.
 *
 * @param index index of the last log entry that the snapshot must include
 * @since 0.1
 */
public record SnapshotWanted(long index) implements Event {}
