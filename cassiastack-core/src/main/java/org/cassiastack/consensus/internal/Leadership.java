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

/** Replicates the log, commits what a quorum has synced, and gives up without a quorum. */
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
    if (quorumAnswered(now).plus(state.settings.electionTimeout()).isBefore(now)) {
      state.becomeFollower(state.term(), null, now);
    } else if (!now.isBefore(nextHeartbeat)) {
      heartbeat(now);
      extendLease(now);
    }
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

  /** Commits entries of this term that a quorum has synced. */
  void advanceCommitIndex(Instant now) {
    if (!state.isLeader()) {
      return;
    }
    long synced = quorumValue(m -> matchOf(m));
    if (synced > state.commitIndex && state.log.termAt(synced) == state.term()) {
      state.commitTo(synced);
      followers.forEach((m, p) -> sendOne(m, p, List.of(), now));
      // The first commit makes the leader ready; its lease must not wait for the next heartbeat.
      extendLease(now);
    }
  }

  /** Tells whether a member holds all that is committed and has answered lately. */
  boolean isCaughtUp(MemberId member, Instant now) {
    return followers.containsKey(member)
        && matchOf(member) >= state.commitIndex
        && answersPromptly(member, now);
  }

  private boolean answersPromptly(MemberId member, Instant now) {
    return answeredBy(member, now).plus(state.settings.electionTimeout()).isAfter(now);
  }

  /** Tells whether a member has not answered for some time of this leadership. */
  boolean isSilent(MemberId member, Duration silence, Instant now) {
    Instant answered = answeredBy(member, now);
    Instant since = answered.isBefore(electedAt) ? electedAt : answered;
    return since.plus(silence).isBefore(now);
  }

  /** Gives up the leadership in favour of the voter that is furthest ahead, if one answers. */
  void transferLeadership(Instant now) {
    if (!state.isLeader()) {
      return;
    }
    MemberId successor = null;
    for (MemberId m : state.log.members().voters()) {
      boolean ahead = successor == null || matchOf(m) > matchOf(successor);
      if (!m.equals(state.self) && ahead && answersPromptly(m, now)) {
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
    followMembers();
    followers.forEach((m, p) -> sendEntries(m, p, now));
  }

  private void followMembers() {
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
    Instant late = now.minus(state.settings.heartbeat().multipliedBy(2));
    followers.forEach(
        (m, p) -> {
          if (p.inFlight > 0 && p.lastAnsweredSentAt.isBefore(late)) {
            p.resend();
          }
          sendOne(m, p, List.of(), now);
          sendEntries(m, p, now);
        });
  }

  private void sendEntries(MemberId to, Progress p, Instant now) {
    int window = p.probing ? 1 : state.settings.maxInFlight();
    while (p.inFlight < window && p.nextIndex <= state.log.lastIndex()) {
      if (p.nextIndex <= state.log.baseIndex()) {
        sendSnapshot(to, p, now);
        return;
      }
      List<LogEntry> entries = state.log.slice(p.nextIndex, state.settings.maxBatchEntries());
      sendOne(to, p, entries, now);
      p.nextIndex += entries.size();
      p.inFlight++;
    }
  }

  private void sendOne(MemberId to, Progress p, List<LogEntry> entries, Instant now) {
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
    Instant answered = quorumValue(m -> answeredBy(m, now));
    if (!state.isReady() || answered.equals(Instant.MIN)) {
      return;
    }
    Instant until = answered.plus(state.settings.leaseDuration());
    if (until.isAfter(leaseUntil)) {
      leaseUntil = until;
      state.raise(new LeaseExtended(state.term(), until));
    }
  }

  private Instant quorumAnswered(Instant now) {
    Instant answered = quorumValue(m -> answeredBy(m, now));
    return answered.isBefore(electedAt) ? electedAt : answered;
  }

  private Instant answeredBy(MemberId member, Instant now) {
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
