package org.cassiastack.consensus;

/**
 * A candidate's request for a vote.
 *
 * @param from the candidate
 * @param to the voter
 * @param term term of the election; in a pre-vote, the term that an election would have
 * @param lastIndex index of the candidate's last entry
 * @param lastTerm term of the candidate's last entry
 * @param preVote whether the candidate only asks if the vote would be granted
 * @since 0.1
 */
public record VoteRequest(
    MemberId from, MemberId to, long term, long lastIndex, long lastTerm, boolean preVote)
    implements RaftMessage {}
