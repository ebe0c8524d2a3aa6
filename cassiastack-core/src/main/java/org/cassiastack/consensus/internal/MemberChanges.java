package org.cassiastack.consensus.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.cassiastack.consensus.JoinPolicy;
import org.cassiastack.consensus.LogEntry;
import org.cassiastack.consensus.MemberGreeting;
import org.cassiastack.consensus.MemberId;
import org.cassiastack.consensus.MemberSet;
import org.cassiastack.controller.Effect;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.Send;

/**
 * Founds the log and admits new members, one change at a time.
 *
 * <p>Where any node may join, a learner of a new node takes the place of a voter that has fallen
 * silent, and silent voters are removed while enough others remain. One that comes back greets the
 * others and is admitted again.
 *
 * <p>The node with the lowest name founds the log once every node has answered it, in this life,
 * that its log is empty. A new folder is admitted as a learner; once caught up it takes the place
 * of the voter that its node was before: first that voter is removed, then the learner votes.
 */
final class MemberChanges {
  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final long NANOS_PER_MICRO = 1_000;

  private final RaftState state;
  private final Leadership leadership;
  private final Map<NodeId, MemberId> emptyNodes = new HashMap<>();
  private final Map<NodeId, MemberId> onGreeting = new HashMap<>();
  private final Map<NodeId, MemberId> wanting = new HashMap<>();
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
    wanting.clear();
    boolean outside = !state.isVoter() || state.settings.joinPolicy().unlistedAllowed();
    if (outside && !state.hasRecentLeader(now) && !now.isBefore(nextGreeting)) {
      nextGreeting = now.plus(state.settings.electionTimeout());
      greetAll();
      found(now);
    }
  }

  void onGreeting(MemberGreeting g, Instant now) {
    MemberId from = g.from();
    onGreeting.put(from.node(), from);
    if (g.inReplyTo() == null) {
      state.emit(greeting(from, from));
      boolean listed = state.settings.nodes().contains(from.node());
      if (state.isLeader() && (listed || state.settings.joinPolicy().unlistedAllowed())) {
        wanting.put(from.node(), from);
      }
    } else if (state.self.equals(g.inReplyTo())) {
      if (g.logEmpty()) {
        emptyNodes.put(from.node(), from);
      } else {
        emptyNodes.remove(from.node());
      }
      found(now);
    }
  }

  /**
   * Tells whether a message comes from a folder that its node has since lost. An empty log cannot
   * tell that by the term, and would take over entries that were never committed.
   */
  boolean isOutdated(MemberId from) {
    MemberId latest = onGreeting.get(from.node());
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

  private Effect greeting(MemberId to, MemberId answerTo) {
    return new Send(to.node(), new MemberGreeting(state.self, state.log.isEmpty(), answerTo));
  }

  private void found(Instant now) {
    if (!state.settings.joinPolicy().bootstrapAllowed()) {
      return;
    }
    boolean lowest = state.settings.nodes().get(0).equals(state.self.node());
    emptyNodes.put(state.self.node(), state.self);
    if (!lowest || !state.log.isEmpty() || emptyNodes.size() < state.settings.nodes().size()) {
      return;
    }
    // The time as first term: a log that was founded and lost before can hold no such term.
    long term = Math.max(state.term() + 1, micros(now));
    state.persistVote(term, null, null);
    LogEntry first = LogEntry.members(1, term, MemberSet.ofVoters(foundingVoters()));
    state.log.append(first);
    state.emit(state.persistence.persistEntries(List.of(first)));
    state.resetElectionDeadline(now);
  }

  private List<MemberId> foundingVoters() {
    return state.settings.nodes().stream().map(emptyNodes::get).toList();
  }

  private static long micros(Instant now) {
    return now.getEpochSecond() * MICROS_PER_SECOND + now.getNano() / NANOS_PER_MICRO;
  }

  private void changeMembers(Instant now) {
    MemberSet members = state.log.members();
    if (state.log.membersIndex() > state.commitIndex || !state.isReady()) {
      return;
    }
    wanting.values().removeIf(members::contains);
    MemberId next = wanting.values().stream().findFirst().orElse(null);
    if (next != null) {
      wanting.remove(next.node());
      leadership.changeMembers(members.withLearner(next), now);
      return;
    }
    for (MemberId l : members.learners()) {
      if (leadership.isCaughtUp(l, now)) {
        promote(l, members, now);
        return;
      }
    }
    JoinPolicy joining = state.settings.joinPolicy();
    if (members.voters().size() > joining.minVoters()) {
      removeSilent(members, joining.voterTimeout(), now);
    }
  }

  private boolean removeSilent(MemberSet members, Duration silence, Instant now) {
    for (MemberId v : members.voters()) {
      if (!v.equals(state.self) && leadership.isSilent(v, silence, now)) {
        leadership.changeMembers(members.withoutVoter(v), now);
        return true;
      }
    }
    return false;
  }

  /** Makes room for a learner; never below the quorum that has been kept so far. */
  private boolean replaceSilent(MemberSet members, Duration silence, Instant now) {
    return members.voters().size() >= state.settings.joinPolicy().minVoters()
        && removeSilent(members, silence, now);
  }

  private void promote(MemberId learner, MemberSet members, Instant now) {
    MemberId former = members.voterOf(learner.node());
    if (former == null) {
      Duration silence = state.settings.joinPolicy().voterTimeout();
      if (!state.settings.joinPolicy().unlistedAllowed() || !replaceSilent(members, silence, now)) {
        leadership.changeMembers(members.withPromoted(learner), now);
      }
    } else if (!former.equals(state.self)) {
      leadership.changeMembers(members.withoutVoter(former), now);
    }
  }
}
