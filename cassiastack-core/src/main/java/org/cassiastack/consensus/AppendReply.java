package org.cassiastack.consensus;

import java.time.Instant;

/**
 * Reply to an {@link AppendRequest} or an {@link InstallSnapshot}.
 *
 * @param from the follower
 * @param to the leader
 * @param term the follower's term
 * @param sentAt the sending time that the request carried, by the leader's clock
 * @param success whether the follower's log matched the request
 * @param matchIndex on success, the index up to which the follower's durable log equals the
 *     leader's; otherwise the highest index at which the two logs may still match
 * @since 0.1
 */
public record AppendReply(
    MemberId from, MemberId to, long term, Instant sentAt, boolean success, long matchIndex)
    implements RaftMessage {}
