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

/** Takes over entries and snapshots from the leader. */
final class Follower {
  private final RaftState state;

  /** Index up to which the log is known to match that of the leader of {@link #matchTerm}. */
  private long match;

  private long matchTerm;
  private @Nullable AppendReply due;

  Follower(RaftState state) {
    this.state = state;
  }

  void onAppendRequest(AppendRequest r, Instant now) {
    if (isStale(r, r.sentAt())) {
      return;
    }
    heard(r, now);
    if (r.prevIndex() >= state.log.baseIndex() && state.log.termAt(r.prevIndex()) != r.prevTerm()) {
      state.send(reply(r.from(), r.sentAt(), false, highestPossibleMatch(r.prevIndex())));
      return;
    }
    takeOver(r.entries());
    long last = Math.max(state.commitIndex, r.prevIndex() + r.entries().size());
    match = Math.max(match, Math.min(last, state.log.lastIndex()));
    state.commitTo(Math.min(r.commitIndex(), match));
    due = reply(r.from(), r.sentAt(), true, 0);
    if (r.entries().isEmpty() || state.persistence.durableIndex() >= match) {
      sendPendingReply();
    }
  }

  void onInstallSnapshot(InstallSnapshot r, Instant now) {
    if (isStale(r, r.sentAt())) {
      return;
    }
    heard(r, now);
    Snapshot s = r.snapshot();
    if (s.index() > state.commitIndex) {
      restore(s);
    }
    match = Math.max(match, s.index());
    due = reply(r.from(), r.sentAt(), true, 0);
    sendPendingReply();
  }

  /** Sends the reply that waited for a sync, as far as the sync has come. */
  void sendPendingReply() {
    AppendReply d = due;
    if (d != null && d.term() == state.term() && state.persistence.durableTerm() == state.term()) {
      long synced = Math.min(match, state.persistence.durableIndex());
      state.send(reply(d.to(), d.sentAt(), true, synced));
      if (synced == match) {
        due = null;
      }
    }
  }

  private boolean isStale(RaftMessage r, Instant sentAt) {
    if (r.term() >= state.term()) {
      return false;
    }
    // The higher term makes an isolated leader step down.
    state.send(reply(r.from(), sentAt, false, state.commitIndex));
    return true;
  }

  private void heard(RaftMessage r, Instant now) {
    state.becomeFollower(r.term(), r.from(), now);
    state.lastLeaderContact = now;
    state.resetElectionDeadline(now);
    if (matchTerm != r.term()) {
      matchTerm = r.term();
      match = state.commitIndex;
      due = null;
    }
  }

  private void takeOver(List<LogEntry> entries) {
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
    state.commitIndex = s.index();
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
