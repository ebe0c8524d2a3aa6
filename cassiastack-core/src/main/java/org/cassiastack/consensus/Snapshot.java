package org.cassiastack.consensus;

import org.cassiastack.model.Payload;

/**
 * State of the state machine after a log entry. The snapshot replaces the log entries up to and
 * including that entry.
 *
 * @param index index of the last log entry that the state includes
 * @param term term of that entry
 * @param members members as of that entry
 * @param state the encoded state
 * @since 0.1
 */
public record Snapshot(long index, long term, MemberSet members, Payload state) {}
