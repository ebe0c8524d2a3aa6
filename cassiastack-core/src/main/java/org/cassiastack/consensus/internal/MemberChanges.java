package org.cassiastack.consensus.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.cassiastack.consensus.GreetingWithoutLog;
import org.cassiastack.consensus.JoinPolicy;
import org.cassiastack.consensus.JoinRequest;
import org.cassiastack.consensus.LogEntry;
import org.cassiastack.consensus.MemberGreeting;
import org.cassiastack.consensus.MemberId;
import org.cassiastack.consensus.MemberSet;
import org.cassiastack.controller.Effect;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.Send;

/**
 * Bootstraps the log and changes its members, one change at a time.
 *
 * <p>Of the listed nodes with storage, the one with the lowest name bootstraps the log if its own
 * log is empty and every other one has reported an empty log too. Only replies that the
 * bootstrapping process has received since it started count. If no listed node has storage, the
 * listed node with the lowest name designates the member that bootstraps the log.
 *
 * <p>A member with a new data folder first becomes a learner. If its node already has a voter with
 * another data folder, that voter is removed once the learner has caught up, and then the learner
 * is promoted to voter.
 *
 * <p>If unlisted nodes may join, there are as many voters as the policy asks for, and further
 * members stand by as learners: an even number of voters would bear no more losses, and no half of
 * it could go on alone. A learner on a node without a voter replaces an unresponsive voter, which
 * is removed first. A removed member that becomes responsive again sends a greeting to the other
 * members and is added again.
 */
final class MemberChanges {
  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final long NANOS_PER_MICRO = 1_000;

  private final RaftState state;
  private final Leadership leadership;
  private final Map<NodeId, MemberId> emptyMembers = new HashMap<>();
  private final Map<NodeId, MemberId> latestMembers = new HashMap<>();
  private final Map<NodeId, MemberId> joinRequests = new HashMap<>();

  /** Listed nodes without storage. */
  private final Set<NodeId> logless = new HashSet<>();

  /** Whether the listed nodes, which have no storage, have designated this member as founder. */
  private boolean designatedFounder;

  private Instant nextGreeting = Instant.MIN;

  MemberChanges(RaftState state, Leadership leadership) {
    this.state = state;
    this.leadership = leadership;
  }

  void tick(Instant now) {
    if (state.isLeader()) {
      changeMembers(now);
      return;
    }
    joinRequests.clear();
    if (!state.hasRecentLeader(now) && !now.isBefore(nextGreeting())) {
      nextGreeting = now.plus(state.settings.electionTimeout());
      greetAll();
      bootstrapIfPossible(now);
    }
  }

  /** Returns when this member next sends greetings unless it hears from a leader before. */
  Instant nextGreeting() {
    boolean possiblyNotVoter = !state.isVoter() || state.settings.joinPolicy().unlistedAllowed();
    if (!possiblyNotVoter) {
      return Instant.MAX;
    }
    Instant leaderlessAt = state.leaderlessAt();
    return leaderlessAt.isAfter(nextGreeting) ? leaderlessAt : nextGreeting;
  }

  void onGreeting(MemberGreeting g, Instant now) {
    MemberId from = g.from();
    latestMembers.put(from.node(), from);
    logless.remove(from.node());
    if (g.inReplyTo() == null) {
      state.emit(greeting(from, from));
      MemberId leader = state.leader();
      if (state.isLeader()) {
        onJoinRequest(new JoinRequest(from));
      } else if (leader != null && !leader.node().equals(from.node())) {
        state.emit(new Send(leader.node(), new JoinRequest(from)));
      }
    } else if (state.self.equals(g.inReplyTo())) {
      if (g.logEmpty()) {
        emptyMembers.put(from.node(), from);
      } else {
        emptyMembers.remove(from.node());
      }
      bootstrapIfPossible(now);
    }
  }

  /** Handles a request to add a member; ignored by a member that is not the leader. */
  void onJoinRequest(JoinRequest r) {
    NodeId node = r.member().node();
    boolean listed = state.settings.nodes().contains(node);
    if (state.isLeader() && (listed || state.settings.joinPolicy().unlistedAllowed())) {
      joinRequests.put(node, r.member());
    }
  }

  void onGreetingWithoutLog(GreetingWithoutLog g, Instant now) {
    if (state.self.equals(g.inReplyTo())) {
      logless.add(g.from());
      boolean fromLowest = state.settings.nodes().get(0).equals(g.from());
      designatedFounder |= fromLowest && state.self.equals(g.founder());
      bootstrapIfPossible(now);
    }
  }

  /**
   * Returns whether a message comes from a data folder that its node no longer uses. A member with
   * an empty log cannot detect that by the term, and would accept entries that were never
   * committed.
   */
  boolean isOutdated(MemberId from) {
    MemberId latest = latestMembers.get(from.node());
    return state.log.isEmpty() && latest != null && !latest.equals(from);
  }

  private void greetAll() {
    Set<NodeId> nodes = new TreeSet<>(NodeId.BY_NAME);
    nodes.addAll(state.settings.nodes());
    state.log.members().all().forEach(m -> nodes.add(m.node()));
    for (NodeId n : nodes) {
      if (!n.equals(state.self.node())) {
        state.emit(new Send(n, new MemberGreeting(state.self, state.log.isEmpty(), null)));
      }
    }
  }

  private Effect greeting(MemberId to, MemberId inReplyTo) {
    return new Send(to.node(), new MemberGreeting(state.self, state.log.isEmpty(), inReplyTo));
  }

  private void bootstrapIfPossible(Instant now) {
    if (!state.settings.joinPolicy().bootstrapAllowed()) {
      return;
    }
    emptyMembers.put(state.self.node(), state.self);
    List<NodeId> founders = new ArrayList<>(state.settings.nodes());
    founders.removeAll(logless);
    if (founders.isEmpty() && designatedFounder) {
      founders.add(state.self.node());
    }
    boolean first = !founders.isEmpty() && founders.get(0).equals(state.self.node());
    if (!first || !state.log.isEmpty() || !emptyMembers.keySet().containsAll(founders)) {
      return;
    }
    // The first term is the current time in microseconds, so that it is higher than any term of a
    // log that was bootstrapped earlier and lost.
    long term = Math.max(state.term() + 1, micros(now));
    state.persistVote(term, null, null);
    List<MemberId> voters = founders.stream().map(emptyMembers::get).toList();
    LogEntry entry = LogEntry.members(1, term, MemberSet.ofVoters(voters));
    state.log.append(entry);
    state.emit(state.persistence.persistEntries(List.of(entry)));
    state.resetElectionDeadline(now);
  }

  private static long micros(Instant now) {
    return now.getEpochSecond() * MICROS_PER_SECOND + now.getNano() / NANOS_PER_MICRO;
  }

  private void changeMembers(Instant now) {
    MemberSet members = state.log.members();
    if (state.log.membersIndex() > state.commitIndex || !state.isReady()) {
      return;
    }
    joinRequests.values().removeIf(members::contains);
    MemberId next = joinRequests.values().stream().findFirst().orElse(null);
    if (next != null) {
      joinRequests.remove(next.node());
      leadership.changeMembers(members.withLearner(next), now);
      return;
    }
    for (MemberId l : members.learners()) {
      if (leadership.isCaughtUp(l, now)) {
        promote(l, members, now);
        return;
      }
    }
    JoinPolicy policy = state.settings.joinPolicy();
    if (members.voters().size() > policy.minVoters()) {
      removeUnresponsiveVoter(members, policy.voterTimeout(), now);
    }
  }

  private void removeUnresponsiveVoter(MemberSet members, Duration timeout, Instant now) {
    for (MemberId v : members.voters()) {
      if (!v.equals(state.self) && leadership.isUnresponsive(v, timeout, now)) {
        leadership.changeMembers(members.withoutVoter(v), now);
        return;
      }
    }
  }

  private void promote(MemberId learner, MemberSet members, Instant now) {
    MemberId replaced = members.voterOf(learner.node());
    if (replaced == null) {
      JoinPolicy policy = state.settings.joinPolicy();
      if (!policy.unlistedAllowed() || members.voters().size() < policy.minVoters()) {
        leadership.changeMembers(members.withPromoted(learner), now);
      } else {
        removeUnresponsiveVoter(members, policy.voterTimeout(), now);
      }
    } else if (!replaced.equals(state.self)) {
      leadership.changeMembers(members.withoutVoter(replaced), now);
    }
  }
}
