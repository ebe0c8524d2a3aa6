package org.cassiastack.consensus;

import org.cassiastack.model.Payload;

/**
 * State of the state machine after an entry, which stands for the log up to there.
 *
 * @param index index of the last entry that it holds
 * @param term term of that entry
 * @param members members as of that entry
 * @param state the encoded state
 * @since 0.1
 */
public record Snapshot(long index, long term, MemberSet members, Payload state) {}
