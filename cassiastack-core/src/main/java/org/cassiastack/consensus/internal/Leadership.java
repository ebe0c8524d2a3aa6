package org.cassiastack.consensus.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.cassiastack.consensus.AppendReply;
import org.cassiastack.consensus.AppendRequest;
import org.cassiastack.consensus.InstallSnapshot;
import org.cassiastack.consensus.LeadershipReleased;
import org.cassiastack.consensus.LeaseExtended;
import org.cassiastack.consensus.LogEntry;
import org.cassiastack.consensus.MemberId;
import org.cassiastack.consensus.MemberSet;
import org.cassiastack.consensus.ProposeCommand;
import org.cassiastack.consensus.Snapshot;

/**
 * Work of the leader: replicates the log, commits entries that are durable on a quorum, extends the
 * lease, and steps down when a quorum no longer answers.
 */
final class Leadership {
  private final RaftState state;
  private final Map<MemberId, Progress> followers = new TreeMap<>(MemberId.ORDER);
  private Instant electedAt = Instant.MIN;
  private Instant nextHeartbeat = Instant.MIN;
  private Instant leaseUntil = Instant.MIN;

  Leadership(RaftState state) {
    this.state = state;
  }

  void begin(Instant now) {
    state.becomeLeader();
    state.onLeaderHeard(true, now);
    followers.clear();
    electedAt = now;
    leaseUntil = Instant.MIN;
    append(LogEntry.noOp(state.log.lastIndex() + 1, state.term()), now);
    heartbeat(now);
  }

  void tick(Instant now) {
    if (!state.isLeader()) {
      return;
    }
    if (quorumAnsweredAt(now).plus(state.patience()).isBefore(now)) {
      state.onLeaderLost(now);
      state.becomeFollower(state.term(), null, now);
    } else if (!now.isBefore(nextHeartbeat)) {
      heartbeat(now);
      extendLease(now);
    }
  }

  Instant nextHeartbeat() {
    return nextHeartbeat;
  }

  void propose(ProposeCommand p, Instant now) {
    long index = state.log.lastIndex() + 1;
    append(LogEntry.command(index, state.term(), p.proposalId(), p.command()), now);
  }

  void changeMembers(MemberSet members, Instant now) {
    append(LogEntry.members(state.log.lastIndex() + 1, state.term(), members), now);
  }

  void onAppendReply(AppendReply r, Instant now) {
    if (r.term() > state.term()) {
      state.becomeFollower(r.term(), null, now);
    }
    Progress p = followers.get(r.from());
    if (!state.isLeader() || r.term() != state.term() || p == null) {
      return;
    }
    if (r.success()) {
      p.onSuccess(r.matchIndex(), r.sentAt());
      advanceCommitIndex(now);
      sendEntries(r.from(), p, now);
    } else if (p.onRejection(r.matchIndex(), r.sentAt())) {
      sendEntries(r.from(), p, now);
    }
    extendLease(now);
  }

  /**
   * Commits the entries that are durable on a quorum, once the last of these is of the current
   * term.
   */
  void advanceCommitIndex(Instant now) {
    if (!state.isLeader()) {
      return;
    }
    long durable = quorumValue(m -> matchOf(m));
    if (durable > state.commitIndex && state.log.termAt(durable) == state.term()) {
      state.commitTo(durable);
      followers.forEach((m, p) -> sendAppend(m, p, List.of(), now));
      // The first commit makes the leader ready. Its lease is extended now and not only at the next
      // heartbeat.
      extendLease(now);
    }
  }

  /** Returns whether a member holds all committed entries durably and has answered recently. */
  boolean isCaughtUp(MemberId member, Instant now) {
    return followers.containsKey(member)
        && matchOf(member) >= state.commitIndex
        && answeredRecently(member, now);
  }

  private boolean answeredRecently(MemberId member, Instant now) {
    return lastAnsweredSentAt(member, now).plus(state.settings.electionTimeout()).isAfter(now);
  }

  /**
   * Returns whether a member has not answered for longer than a timeout. Only the time since the
   * election of this leader counts.
   */
  boolean isUnresponsive(MemberId member, Duration timeout, Instant now) {
    Instant answered = lastAnsweredSentAt(member, now);
    Instant since = answered.isBefore(electedAt) ? electedAt : answered;
    return since.plus(timeout).isBefore(now);
  }

  /**
   * Transfers the leadership to the most up-to-date of the voters that have answered recently. Does
   * nothing if no other voter has.
   */
  void transferLeadership(Instant now) {
    if (!state.isLeader()) {
      return;
    }
    MemberId successor = null;
    for (MemberId m : state.log.members().voters()) {
      boolean ahead = successor == null || matchOf(m) > matchOf(successor);
      if (!m.equals(state.self) && ahead && answeredRecently(m, now)) {
        successor = m;
      }
    }
    if (successor == null) {
      return;
    }
    for (MemberId m : followers.keySet()) {
      state.send(new LeadershipReleased(state.self, m, state.term(), successor));
    }
    state.becomeFollower(state.term(), null, now);
  }

  private void append(LogEntry entry, Instant now) {
    state.log.append(entry);
    state.emit(state.persistence.persistEntries(List.of(entry)));
    updateFollowers();
    followers.forEach((m, p) -> sendEntries(m, p, now));
  }

  private void updateFollowers() {
    List<MemberId> all = state.log.members().all();
    followers.keySet().retainAll(all);
    for (MemberId m : all) {
      if (!m.equals(state.self)) {
        followers.computeIfAbsent(m, x -> new Progress(state.log.lastIndex()));
      }
    }
  }

  private void heartbeat(Instant now) {
    nextHeartbeat = now.plus(state.settings.heartbeat());
    Instant resendBefore = now.minus(state.settings.heartbeat().multipliedBy(2));
    followers.forEach(
        (m, p) -> {
          if (p.inFlight > 0 && p.lastAnsweredSentAt.isBefore(resendBefore)) {
            p.resend();
          }
          sendAppend(m, p, List.of(), now);
          sendEntries(m, p, now);
        });
  }

  private void sendEntries(MemberId to, Progress p, Instant now) {
    int maxInFlight = p.probing ? 1 : state.settings.maxInFlight();
    while (p.inFlight < maxInFlight && p.nextIndex <= state.log.lastIndex()) {
      if (p.nextIndex <= state.log.baseIndex()) {
        sendSnapshot(to, p, now);
        return;
      }
      List<LogEntry> entries = state.log.slice(p.nextIndex, state.settings.maxBatchEntries());
      sendAppend(to, p, entries, now);
      p.nextIndex += entries.size();
      p.inFlight++;
    }
  }

  private void sendAppend(MemberId to, Progress p, List<LogEntry> entries, Instant now) {
    long prev = Math.max(p.nextIndex - 1, state.log.baseIndex());
    state.send(
        new AppendRequest(
            state.self,
            to,
            state.term(),
            now,
            prev,
            state.log.termAt(prev),
            state.commitIndex,
            entries));
  }

  private void sendSnapshot(MemberId to, Progress p, Instant now) {
    Snapshot s = state.log.snapshot();
    if (s != null && p.snapshotSentAt.plus(state.settings.electionTimeout()).isBefore(now)) {
      p.snapshotSentAt = now;
      state.send(new InstallSnapshot(state.self, to, state.term(), now, s));
    }
  }

  private void extendLease(Instant now) {
    Instant answered = quorumValue(m -> lastAnsweredSentAt(m, now));
    if (!state.isReady() || answered.equals(Instant.MIN)) {
      return;
    }
    Instant until = answered.plus(state.settings.leaseDuration());
    if (until.isAfter(leaseUntil)) {
      leaseUntil = until;
      state.raise(new LeaseExtended(state.term(), until));
    }
  }

  private Instant quorumAnsweredAt(Instant now) {
    Instant answered = quorumValue(m -> lastAnsweredSentAt(m, now));
    return answered.isBefore(electedAt) ? electedAt : answered;
  }

  private Instant lastAnsweredSentAt(MemberId member, Instant now) {
    Progress p = followers.get(member);
    return member.equals(state.self) ? now : p == null ? Instant.MIN : p.lastAnsweredSentAt;
  }

  private long matchOf(MemberId member) {
    Progress p = followers.get(member);
    return member.equals(state.self)
        ? state.persistence.durableIndex()
        : p == null ? 0 : p.matchIndex;
  }

  /** Returns the highest value that a quorum of the voters has reached. */
  private <T extends Comparable<T>> T quorumValue(Function<MemberId, T> value) {
    List<T> values = new ArrayList<>();
    MemberSet members = state.log.members();
    members.voters().forEach(m -> values.add(value.apply(m)));
    values.sort(Comparator.reverseOrder());
    return values.get(members.quorum() - 1);
  }
}
