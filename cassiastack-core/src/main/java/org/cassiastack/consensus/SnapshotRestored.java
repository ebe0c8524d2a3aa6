package org.cassiastack.consensus;

import org.cassiastack.controller.Event;
import org.cassiastack.model.Payload;

/**
 * The state machine has to take over a state in place of its own.
 *
 * @param index the last command that the state holds
 * @param state the encoded state
 * @since 0.1
 */
public record SnapshotRestored(long index, Payload state) implements Event {}
