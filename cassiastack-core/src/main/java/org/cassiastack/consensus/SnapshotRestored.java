package org.cassiastack.consensus;

import org.cassiastack.controller.Event;
import org.cassiastack.model.Payload;

/**
 * The member has recovered a snapshot at its start or received one from the leader. On this event
 * the state machine replaces its state by that of the snapshot.
 *
 * @param index index of the last log entry that the state includes
 * @param state the encoded state
 * @since 0.1
 */
public record SnapshotRestored(long index, Payload state) implements Event {}
