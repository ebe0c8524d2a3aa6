package org.cassiastack.consensus;

/**
 * A leader has given up its lease, so that another member may be elected before the election
 * timeout has passed since the last heartbeat.
 *
 * @param from the former leader
 * @param to the receiver
 * @param term term in which the sender was the leader
 * @param successor the member that starts an election at once
 * @since 0.2
 */
public record LeadershipReleased(MemberId from, MemberId to, long term, MemberId successor)
    implements RaftMessage {}
