package org.cassiastack.consensus.internal;

import java.util.ArrayList;
import java.util.List;
import org.cassiastack.consensus.LogEntry;
import org.cassiastack.consensus.MemberSet;
import org.cassiastack.consensus.RecoveredLog;
import org.cassiastack.consensus.Snapshot;
import org.jspecify.annotations.Nullable;

/** The log in memory: a snapshot and the entries behind it, synced or not. */
final class RaftLog {
  /** Term of an index that the log does not hold. */
  static final long UNKNOWN_TERM = -1;

  private static final int MAX_BATCH_BYTES = 1 << 20;

  private final List<LogEntry> entries;
  private @Nullable Snapshot snapshot;
  private MemberSet members = MemberSet.EMPTY;
  private long membersIndex;

  private RaftLog(@Nullable Snapshot snapshot, List<LogEntry> entries) {
    this.snapshot = snapshot;
    this.entries = new ArrayList<>(entries);
    findMembers();
  }

  static RaftLog of(RecoveredLog recovered) {
    return new RaftLog(recovered.snapshot(), recovered.entries());
  }

  boolean isEmpty() {
    return lastIndex() == 0;
  }

  @Nullable Snapshot snapshot() {
    return snapshot;
  }

  long baseIndex() {
    return snapshot == null ? 0 : snapshot.index();
  }

  long lastIndex() {
    return baseIndex() + entries.size();
  }

  long lastTerm() {
    return termAt(lastIndex());
  }

  long termAt(long index) {
    if (index == baseIndex()) {
      return snapshot == null ? 0 : snapshot.term();
    }
    if (index < baseIndex() || index > lastIndex()) {
      return UNKNOWN_TERM;
    }
    return entry(index).term();
  }

  LogEntry entry(long index) {
    return entries.get(Math.toIntExact(index - baseIndex() - 1));
  }

  /** Returns entries from an index on, within the bounds of one message. */
  List<LogEntry> slice(long from, int most) {
    List<LogEntry> slice = new ArrayList<>();
    long bytes = 0;
    for (long i = from; i <= lastIndex() && slice.size() < most && bytes < MAX_BATCH_BYTES; i++) {
      LogEntry e = entry(i);
      slice.add(e);
      bytes += e.command().size();
    }
    return slice;
  }

  void append(LogEntry entry) {
    if (entry.index() != lastIndex() + 1) {
      throw new IllegalStateException("gap in the log before index " + entry.index());
    }
    entries.add(entry);
    if (entry.kind() == LogEntry.Kind.MEMBERS) {
      members = entry.members();
      membersIndex = entry.index();
    }
  }

  void truncateFrom(long index) {
    entries.subList(Math.toIntExact(index - baseIndex() - 1), entries.size()).clear();
    findMembers();
  }

  /** Takes a snapshot as the base; entries behind it stay when they follow it. */
  void compact(Snapshot next) {
    if (termAt(next.index()) == next.term()) {
      entries.subList(0, Math.toIntExact(next.index() - baseIndex())).clear();
    } else {
      entries.clear();
    }
    snapshot = next;
    findMembers();
  }

  MemberSet members() {
    return members;
  }

  /** Returns the index from which the present members are in force. */
  long membersIndex() {
    return membersIndex;
  }

  MemberSet membersAt(long index) {
    for (long i = index; i > baseIndex(); i--) {
      if (entry(i).kind() == LogEntry.Kind.MEMBERS) {
        return entry(i).members();
      }
    }
    return snapshot == null ? MemberSet.EMPTY : snapshot.members();
  }

  /** Returns the last index before the run of one term that ends at an index. */
  long lastIndexBeforeTermOf(long index) {
    long term = termAt(index);
    long i = index;
    while (i > baseIndex() && termAt(i) == term) {
      i--;
    }
    return i;
  }

  private void findMembers() {
    members = snapshot == null ? MemberSet.EMPTY : snapshot.members();
    membersIndex = baseIndex();
    for (LogEntry e : entries) {
      if (e.kind() == LogEntry.Kind.MEMBERS) {
        members = e.members();
        membersIndex = e.index();
      }
    }
  }
}
