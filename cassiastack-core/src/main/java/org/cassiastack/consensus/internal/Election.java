package org.cassiastack.consensus.internal;

import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import org.cassiastack.consensus.LeadershipReleased;
import org.cassiastack.consensus.MemberId;
import org.cassiastack.consensus.VoteReply;
import org.cassiastack.consensus.VoteRequest;
import org.cassiastack.protocol.Send;

/** Pre-votes and votes, asked for and given. */
final class Election {
  private final RaftState state;
  private final Set<MemberId> granted = new HashSet<>();

  Election(RaftState state) {
    this.state = state;
  }

  /** Asks for pre-votes when no leader was heard of for too long. */
  void tick(Instant now) {
    if (state.isLeader() || !state.isVoter() || now.isBefore(state.electionDeadline)) {
      return;
    }
    state.resetElectionDeadline(now);
    state.role = Role.PRE_CANDIDATE;
    state.clearLeader();
    granted.clear();
    granted.add(state.self);
    ask(state.term() + 1, true);
  }

  /** Goes on from a pre-vote to the vote, once a majority would give theirs. */
  void campaignIfPreVoteWon(Instant now) {
    if (state.role == Role.PRE_CANDIDATE && hasMajority()) {
      campaign(now);
    }
  }

  /** Tells whether this member has just been elected; its own vote counts once it is synced. */
  boolean isWon() {
    if (state.role == Role.CANDIDATE && state.persistence.durableTerm() == state.term()) {
      granted.add(state.self);
    }
    return state.role == Role.CANDIDATE && hasMajority();
  }

  void onVoteRequest(VoteRequest r, Instant now) {
    boolean refuse = state.hasRecentLeader(now);
    if (!r.preVote() && !refuse && r.term() > state.term()) {
      state.becomeFollower(r.term(), null, now);
    }
    boolean grant = !refuse && isUpToDate(r) && isFree(r);
    long term = grant ? r.term() : state.term();
    VoteReply reply = new VoteReply(state.self, r.from(), term, grant, r.preVote());
    if (grant && !r.preVote()) {
      state.resetElectionDeadline(now);
      state.persistVote(r.term(), r.from(), new Send(r.from().node(), reply));
    } else {
      state.send(reply);
    }
  }

  /** The leader has given up its lease; its successor asks for votes without waiting. */
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
    Role asking = r.preVote() ? Role.PRE_CANDIDATE : Role.CANDIDATE;
    long term = r.preVote() ? state.term() + 1 : state.term();
    if (state.role == asking && r.term() == term) {
      granted.add(r.from());
    }
  }

  private void campaign(Instant now) {
    state.role = Role.CANDIDATE;
    granted.clear();
    state.resetElectionDeadline(now);
    state.persistVote(state.term() + 1, state.self, null);
    ask(state.term(), false);
  }

  private void ask(long term, boolean preVote) {
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

  private boolean isFree(VoteRequest r) {
    if (r.preVote()) {
      return r.term() > state.term();
    }
    MemberId vote = state.vote();
    return r.term() == state.term() && (vote == null || vote.equals(r.from()));
  }
}
