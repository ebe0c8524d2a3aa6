package org.cassiastack.consensus;

import java.time.Instant;

/**
 * A leader's request to replace a follower's state by a snapshot. Sent when the follower needs
 * entries that the leader has already compacted.
 *
 * @param from the leader
 * @param to the follower
 * @param term term of the leader
 * @param sentAt sending time by the leader's clock, returned in the reply
 * @param snapshot the snapshot
 * @since 0.1
 */
public record InstallSnapshot(
    MemberId from, MemberId to, long term, Instant sentAt, Snapshot snapshot)
    implements RaftMessage {}
