package org.cassiastack.consensus;

/**
 * A leader has given up its lease, so that another may be elected although it was heard lately.
 *
 * @param from the former leader
 * @param to the member that is told
 * @param term term in which it led
 * @param successor the member that is to ask for votes at once
 * @since 0.2
 */
public record LeadershipReleased(MemberId from, MemberId to, long term, MemberId successor)
    implements RaftMessage {}
