package org.cassiastack.consensus;

import org.cassiastack.controller.Event;
import org.cassiastack.model.Payload;

/**
 * The state machine must replace its state by the state of a snapshot.
 *
 * @param index index of the last log entry that the state includes
 * @param state the encoded state
 * @since 0.1
 */
public record SnapshotRestored(long index, Payload state) implements Event {}
