package org.cassiastack.consensus;

import org.cassiastack.controller.Event;
import org.cassiastack.model.Payload;

/**
 * The state machine after a command; the log up to there may be dropped.
 *
 * @param index the last command that the state holds
 * @param state the encoded state
 * @since 0.1
 */
public record SnapshotTaken(long index, Payload state) implements Event {}
