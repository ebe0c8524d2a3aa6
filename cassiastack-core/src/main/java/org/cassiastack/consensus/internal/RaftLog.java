package org.cassiastack.consensus.internal;

import java.util.ArrayList;
import java.util.List;
import org.cassiastack.consensus.LogEntry;
import org.cassiastack.consensus.LogStats;
import org.cassiastack.consensus.MemberSet;
import org.cassiastack.consensus.RecoveredLog;
import org.cassiastack.consensus.Snapshot;
import org.jspecify.annotations.Nullable;

/** The log in memory: the latest snapshot and the entries after it, durable or not. */
final class RaftLog {
  /** Term that {@link #termAt} returns for an index that the log does not contain. */
  static final long UNKNOWN_TERM = -1;

  private static final int MAX_BATCH_BYTES = 1 << 20;

  private final List<LogEntry> entries;
  private @Nullable Snapshot snapshot;
  private MemberSet members = MemberSet.EMPTY;
  private long membersIndex;

  /** Size of the commands of all entries. */
  private long bytes;

  private RaftLog(@Nullable Snapshot snapshot, List<LogEntry> entries) {
    this.snapshot = snapshot;
    this.entries = new ArrayList<>(entries);
    this.bytes = bytesOf(entries);
    refreshMembers();
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

  LogStats stats() {
    return new LogStats(entries.size(), bytes, snapshot == null ? 0 : snapshot.state().size());
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

  /**
   * Returns the entries of one message, from an index on: at most {@code maxEntries}, and none
   * after the entry with which the commands reach {@link #MAX_BATCH_BYTES}.
   */
  List<LogEntry> slice(long from, int maxEntries) {
    List<LogEntry> slice = new ArrayList<>();
    long bytes = 0;
    for (long i = from;
        i <= lastIndex() && slice.size() < maxEntries && bytes < MAX_BATCH_BYTES;
        i++) {
      LogEntry e = entry(i);
      slice.add(e);
      bytes += e.command().size();
    }
    return slice;
  }

  void append(LogEntry entry) {
    if (entry.index() != lastIndex() + 1) {
      throw new IllegalStateException(
          "log entry does not directly follow the last entry: index " + entry.index());
    }
    entries.add(entry);
    bytes += entry.command().size();
    if (entry.kind() == LogEntry.Kind.MEMBERS) {
      members = entry.members();
      membersIndex = entry.index();
    }
  }

  void truncateFrom(long index) {
    drop(entries.subList(Math.toIntExact(index - baseIndex() - 1), entries.size()));
    refreshMembers();
  }

  /**
   * Replaces the entries up to a snapshot by the snapshot. The entries after it are retained only
   * if the log contains the snapshot's last entry.
   */
  void compact(Snapshot next) {
    if (termAt(next.index()) == next.term()) {
      drop(entries.subList(0, Math.toIntExact(next.index() - baseIndex())));
    } else {
      drop(entries);
    }
    snapshot = next;
    refreshMembers();
  }

  MemberSet members() {
    return members;
  }

  /** Returns the index of the entry or snapshot that set the current members. */
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

  /**
   * Returns the last index at or below {@code index} whose term differs from that of {@code index},
   * or the base index if there is none.
   */
  long lastIndexBeforeTermOf(long index) {
    long term = termAt(index);
    long i = index;
    while (i > baseIndex() && termAt(i) == term) {
      i--;
    }
    return i;
  }

  private void drop(List<LogEntry> dropped) {
    bytes -= bytesOf(dropped);
    dropped.clear();
  }

  private static long bytesOf(List<LogEntry> entries) {
    return entries.stream().mapToLong(e -> e.command().size()).sum();
  }

  private void refreshMembers() {
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
