package org.cassiastack.consensus;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import org.cassiastack.model.NodeId;
import org.jspecify.annotations.Nullable;

/** An in-memory data folder. A crash of its process may lose unsynced writes. */
public final class FakeDisk {
  private final MemberId self;
  private final TreeMap<Long, LogEntry> entries = new TreeMap<>();
  private final Deque<Persist> unsynced = new ArrayDeque<>();
  private HardState hardState = HardState.INITIAL;
  private @Nullable Snapshot snapshot;

  public FakeDisk(NodeId node, UUID folder) {
    this.self = new MemberId(node, folder);
  }

  public MemberId self() {
    return self;
  }

  public void write(Persist persist) {
    unsynced.add(persist);
  }

  /** Syncs all unsynced writes; returns the sequence number of the last one, or 0 if none. */
  public long sync() {
    long last = 0;
    for (Persist p = unsynced.poll(); p != null; p = unsynced.poll()) {
      apply(p);
      last = p.sequence();
    }
    return last;
  }

  /** Drops the unsynced writes, except the first {@code survivors} ones. */
  public void crash(int survivors) {
    for (int i = 0; i < survivors && !unsynced.isEmpty(); i++) {
      apply(unsynced.remove());
    }
    unsynced.clear();
  }

  public int unsyncedWrites() {
    return unsynced.size();
  }

  public RecoveredLog recover() {
    return new RecoveredLog(self, hardState, snapshot, entries.values().stream().toList());
  }

  MemberSet members() {
    MemberSet members = snapshot == null ? MemberSet.EMPTY : snapshot.members();
    for (LogEntry e : entries.values()) {
      members = e.kind() == LogEntry.Kind.MEMBERS ? e.members() : members;
    }
    return members;
  }

  private void apply(Persist p) {
    if (p.hardState() != null) {
      hardState = p.hardState();
    }
    if (p.snapshot() != null) {
      snapshot = p.snapshot();
      if (p.resetLog()) {
        entries.clear();
      }
      entries.headMap(snapshot.index(), true).clear();
    }
    for (Map.Entry<Long, LogEntry> e : entriesOf(p).entrySet()) {
      entries.tailMap(e.getKey(), true).clear();
      entries.put(e.getKey(), e.getValue());
    }
  }

  private static Map<Long, LogEntry> entriesOf(Persist p) {
    Map<Long, LogEntry> byIndex = new TreeMap<>();
    p.entries().forEach(e -> byIndex.put(e.index(), e));
    return byIndex;
  }
}
