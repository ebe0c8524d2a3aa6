package org.cassiastack.consensus;

import org.cassiastack.controller.Event;
import org.cassiastack.model.Payload;

/**
 * The owner of the state machine provides the machine's state as of the log entry {@code index};
 * the log entries up to and including that entry may be deleted.
 *
 * @param index index of the last log entry that the state includes
 * @param state the encoded state
 * @since 0.1
 */
public record SnapshotTaken(long index, Payload state) implements Event {}
