package org.cassiastack.consensus;

/**
 * A candidate asks for a vote.
 *
 * @param from the candidate
 * @param to the member that is asked
 * @param term term of the election; of a pre-vote, the term that would follow
 * @param lastIndex index of the candidate's last entry
 * @param lastTerm term of that entry
 * @param preVote whether it only asks if a vote would be given
 * @since 0.1
 */
public record VoteRequest(
    MemberId from, MemberId to, long term, long lastIndex, long lastTerm, boolean preVote)
    implements RaftMessage {}
