package org.cassiastack.consensus;

import org.cassiastack.controller.Event;

/**
 * The log has grown beyond the snapshot threshold; the owner of the state machine is expected to
 * answer with {@link SnapshotTaken}.
 *
 * @param index index of the last committed log entry. When the state machine receives this event,
 *     its state includes the entries up to exactly this index
 * @since 0.1
 */
public record SnapshotRequested(long index) implements Event {}
