package org.cassiastack.consensus;

import java.time.Instant;

/**
 * A leader sends its snapshot to a follower that needs entries which the leader has dropped.
 *
 * @param from the leader
 * @param to the follower
 * @param term term of the leader
 * @param sentAt time of sending by the leader's clock, given back in the reply
 * @param snapshot the snapshot
 * @since 0.1
 */
public record InstallSnapshot(
    MemberId from, MemberId to, long term, Instant sentAt, Snapshot snapshot)
    implements RaftMessage {}
