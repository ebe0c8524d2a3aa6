package org.cassiastack.consensus;

/**
 * Reply to a {@link VoteRequest}.
 *
 * @param from the voter
 * @param to the candidate
 * @param term term of the request if the vote is granted, otherwise the voter's own term
 * @param granted whether the vote is granted
 * @param preVote whether this is the reply to a pre-vote
 * @since 0.1
 */
public record VoteReply(MemberId from, MemberId to, long term, boolean granted, boolean preVote)
    implements RaftMessage {}
