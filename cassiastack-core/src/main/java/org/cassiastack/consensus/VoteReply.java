package org.cassiastack.consensus;

/**
 * Answer to a {@link VoteRequest}.
 *
 * @param from the voter
 * @param to the candidate
 * @param term term of the request when granted, otherwise the voter's own term
 * @param granted whether the vote is given
 * @param preVote whether it answers a pre-vote
 * @since 0.1
 */
public record VoteReply(MemberId from, MemberId to, long term, boolean granted, boolean preVote)
    implements RaftMessage {}
