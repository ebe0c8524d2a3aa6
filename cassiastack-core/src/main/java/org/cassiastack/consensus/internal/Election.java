package org.cassiastack.consensus.internal;

import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import org.cassiastack.consensus.LeadershipReleased;
import org.cassiastack.consensus.MemberId;
import org.cassiastack.consensus.VoteReply;
import org.cassiastack.consensus.VoteRequest;
import org.cassiastack.protocol.Send;

/** Requests, grants and counts pre-votes and votes. */
final class Election {
  private final RaftState state;
  private final Set<MemberId> granted = new HashSet<>();

  Election(RaftState state) {
    this.state = state;
  }

  /** Requests pre-votes when the election deadline has passed without contact to a leader. */
  void tick(Instant now) {
    if (state.isLeader() || !state.isVoter() || now.isBefore(state.electionDeadline)) {
      return;
    }
    state.onLeaderLost(now);
    state.resetElectionDeadline(now);
    state.role = Role.PRE_CANDIDATE;
    state.clearLeader();
    granted.clear();
    granted.add(state.self);
    requestVotes(state.term() + 1, true);
  }

  /** Starts an election once a majority has granted the pre-vote. */
  void campaignIfPreVoteWon(Instant now) {
    if (state.role == Role.PRE_CANDIDATE && hasMajority()) {
      campaign(now);
    }
  }

  /** Returns whether this member has won an election. Its own vote counts once it is durable. */
  boolean isWon() {
    if (state.role == Role.CANDIDATE && state.persistence.durableTerm() == state.term()) {
      granted.add(state.self);
    }
    return state.role == Role.CANDIDATE && hasMajority();
  }

  void onVoteRequest(VoteRequest r, Instant now) {
    boolean leaderRecent = state.hasRecentLeader(now);
    if (!r.preVote() && !leaderRecent && r.term() > state.term()) {
      state.becomeFollower(r.term(), null, now);
    }
    boolean grant = !leaderRecent && isUpToDate(r) && hasVoteFor(r);
    long term = grant ? r.term() : state.term();
    VoteReply reply = new VoteReply(state.self, r.from(), term, grant, r.preVote());
    if (grant && !r.preVote()) {
      state.resetElectionDeadline(now);
      state.persistVote(r.term(), r.from(), new Send(r.from().node(), reply));
    } else {
      state.send(reply);
    }
  }

  /**
   * Handles the message of a leader that has given up its lease; the successor starts an election
   * at once.
   */
  void onLeadershipReleased(LeadershipReleased r, Instant now) {
    if (r.term() != state.term() || !r.from().equals(state.leader())) {
      return;
    }
    state.clearLeader();
    state.lastLeaderContact = Instant.MIN;
    state.resetElectionDeadline(now);
    if (r.successor().equals(state.self)) {
      state.electionDeadline = now;
      tick(now);
    }
  }

  void onVoteReply(VoteReply r, Instant now) {
    if (!r.granted()) {
      if (r.term() > state.term()) {
        state.becomeFollower(r.term(), null, now);
      }
      return;
    }
    Role expectedRole = r.preVote() ? Role.PRE_CANDIDATE : Role.CANDIDATE;
    long expectedTerm = r.preVote() ? state.term() + 1 : state.term();
    if (state.role == expectedRole && r.term() == expectedTerm) {
      granted.add(r.from());
    }
  }

  private void campaign(Instant now) {
    state.role = Role.CANDIDATE;
    granted.clear();
    state.resetElectionDeadline(now);
    state.persistVote(state.term() + 1, state.self, null);
    requestVotes(state.term(), false);
  }

  private void requestVotes(long term, boolean preVote) {
    long index = state.log.lastIndex();
    for (MemberId m : state.log.members().voters()) {
      if (!m.equals(state.self)) {
        state.send(new VoteRequest(state.self, m, term, index, state.log.lastTerm(), preVote));
      }
    }
  }

  private boolean hasMajority() {
    long votes = state.log.members().voters().stream().filter(granted::contains).count();
    return votes >= state.log.members().quorum();
  }

  private boolean isUpToDate(VoteRequest r) {
    long lastTerm = state.log.lastTerm();
    return r.lastTerm() > lastTerm
        || (r.lastTerm() == lastTerm && r.lastIndex() >= state.log.lastIndex());
  }

  private boolean hasVoteFor(VoteRequest r) {
    if (r.preVote()) {
      return r.term() > state.term();
    }
    MemberId vote = state.vote();
    return r.term() == state.term() && (vote == null || vote.equals(r.from()));
  }
}
