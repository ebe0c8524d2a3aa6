package org.cassiastack.consensus.internal;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.cassiastack.consensus.AppendReply;
import org.cassiastack.consensus.AppendRequest;
import org.cassiastack.consensus.InstallSnapshot;
import org.cassiastack.consensus.LogEntry;
import org.cassiastack.consensus.MemberId;
import org.cassiastack.consensus.RaftMessage;
import org.cassiastack.consensus.Snapshot;
import org.cassiastack.consensus.SnapshotRestored;
import org.jspecify.annotations.Nullable;

/** Applies the leader's entries and snapshots to the log of this member. */
final class Follower {
  private final RaftState state;

  /** Index up to which the log is known to match the log of the leader of {@link #matchTerm}. */
  private long matchIndex;

  private long matchTerm;
  private @Nullable AppendReply pendingReply;

  Follower(RaftState state) {
    this.state = state;
  }

  void onAppendRequest(AppendRequest r, Instant now) {
    if (isStale(r, r.sentAt())) {
      return;
    }
    onLeaderContact(r, now);
    if (r.prevIndex() >= state.log.baseIndex() && state.log.termAt(r.prevIndex()) != r.prevTerm()) {
      state.send(reply(r.from(), r.sentAt(), false, highestPossibleMatch(r.prevIndex())));
      return;
    }
    appendEntries(r.entries());
    long last = Math.max(state.commitIndex, r.prevIndex() + r.entries().size());
    matchIndex = Math.max(matchIndex, Math.min(last, state.log.lastIndex()));
    state.commitTo(Math.min(r.commitIndex(), matchIndex));
    pendingReply = reply(r.from(), r.sentAt(), true, 0);
    if (r.entries().isEmpty() || state.persistence.durableIndex() >= matchIndex) {
      sendPendingReply();
    }
  }

  void onInstallSnapshot(InstallSnapshot r, Instant now) {
    if (isStale(r, r.sentAt())) {
      return;
    }
    onLeaderContact(r, now);
    Snapshot s = r.snapshot();
    if (s.index() > state.commitIndex) {
      restore(s);
    }
    matchIndex = Math.max(matchIndex, s.index());
    pendingReply = reply(r.from(), r.sentAt(), true, 0);
    sendPendingReply();
  }

  /**
   * Sends the pending reply once the current term is durable. The reply acknowledges only the
   * durable entries, and stays pending until every matching entry is durable.
   */
  void sendPendingReply() {
    AppendReply pending = pendingReply;
    if (pending != null
        && pending.term() == state.term()
        && state.persistence.durableTerm() == state.term()) {
      long durable = Math.min(matchIndex, state.persistence.durableIndex());
      state.send(reply(pending.to(), pending.sentAt(), true, durable));
      if (durable == matchIndex) {
        pendingReply = null;
      }
    }
  }

  private boolean isStale(RaftMessage r, Instant sentAt) {
    if (r.term() >= state.term()) {
      return false;
    }
    // The higher term in the reply makes a leader that was isolated step down.
    state.send(reply(r.from(), sentAt, false, state.commitIndex));
    return true;
  }

  private void onLeaderContact(RaftMessage r, Instant now) {
    boolean newLeader = r.term() > state.term() || !r.from().equals(state.leader());
    state.becomeFollower(r.term(), r.from(), now);
    state.onLeaderHeard(newLeader, now);
    state.lastLeaderContact = now;
    state.resetElectionDeadline(now);
    if (matchTerm != r.term()) {
      matchTerm = r.term();
      matchIndex = state.commitIndex;
      pendingReply = null;
    }
  }

  private void appendEntries(List<LogEntry> entries) {
    List<LogEntry> added = new ArrayList<>();
    for (LogEntry e : entries) {
      if (e.index() <= state.commitIndex) {
        continue;
      }
      if (added.isEmpty() && state.log.termAt(e.index()) == e.term()) {
        continue;
      }
      if (e.index() <= state.log.lastIndex()) {
        state.log.truncateFrom(e.index());
        state.persistence.onTruncatedFrom(e.index());
      }
      state.log.append(e);
      added.add(e);
    }
    if (!added.isEmpty()) {
      state.emit(state.persistence.persistEntries(added));
    }
  }

  private void restore(Snapshot s) {
    boolean reset = state.log.termAt(s.index()) != s.term();
    if (reset) {
      state.persistence.onTruncatedFrom(state.log.baseIndex() + 1);
    }
    state.log.compact(s);
    state.emit(state.persistence.persistSnapshot(s, reset));
    state.onSnapshotInstalled(s.index());
    state.raise(new SnapshotRestored(s.index(), s.state()));
  }

  private long highestPossibleMatch(long prevIndex) {
    long last = state.log.lastIndex();
    long possible = prevIndex > last ? last : state.log.lastIndexBeforeTermOf(prevIndex);
    return Math.max(possible, state.commitIndex);
  }

  private AppendReply reply(MemberId to, Instant sentAt, boolean success, long index) {
    return new AppendReply(state.self, to, state.term(), sentAt, success, index);
  }
}
