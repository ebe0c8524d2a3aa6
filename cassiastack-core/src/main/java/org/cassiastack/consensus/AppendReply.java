package org.cassiastack.consensus;

import java.time.Instant;

/**
 * Answer to an {@link AppendRequest} or an {@link InstallSnapshot}.
 *
 * @param from the follower
 * @param to the leader
 * @param term the follower's term
 * @param sentAt time of sending that the request carried
 * @param success whether the log of the follower matched the request
 * @param matchIndex on success the index up to which the follower holds the leader's log synced,
 *     otherwise the highest index at which it may match
 * @since 0.1
 */
public record AppendReply(
    MemberId from, MemberId to, long term, Instant sentAt, boolean success, long matchIndex)
    implements RaftMessage {}
