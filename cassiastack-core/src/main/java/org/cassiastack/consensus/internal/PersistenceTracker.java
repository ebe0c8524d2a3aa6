package org.cassiastack.consensus.internal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.cassiastack.consensus.HardState;
import org.cassiastack.consensus.LogEntry;
import org.cassiastack.consensus.Persist;
import org.cassiastack.consensus.Snapshot;
import org.cassiastack.controller.Effect;
import org.jspecify.annotations.Nullable;

/** Keeps account of which parts of the log and of the hard state are synced. */
final class PersistenceTracker {
  private final RaftLog log;
  private final Deque<Sync> waiting = new ArrayDeque<>();
  private long lastSync;
  private long durableIndex;
  private long durableTerm;
  private long writtenTerm;

  PersistenceTracker(RaftLog log, HardState recovered) {
    this.log = log;
    this.durableIndex = log.lastIndex();
    this.durableTerm = recovered.term();
    this.writtenTerm = recovered.term();
  }

  /** Returns the index up to which the present log is synced. */
  long durableIndex() {
    return durableIndex;
  }

  /** Returns the latest synced term. */
  long durableTerm() {
    return durableTerm;
  }

  /**
   * Writes the hard state and holds an effect back until that is synced.
   *
   * @param after the effect, or null
   */
  Persist persistHardState(HardState state, @Nullable Effect after) {
    writtenTerm = state.term();
    return write(state, null, false, List.of(), after);
  }

  Persist persistEntries(List<LogEntry> entries) {
    return write(null, null, false, entries, null);
  }

  Persist persistSnapshot(Snapshot snapshot, boolean resetLog) {
    return write(null, snapshot, resetLog, List.of(), null);
  }

  /** Takes note that entries from an index on were removed. */
  void onTruncatedFrom(long index) {
    durableIndex = Math.min(durableIndex, index - 1);
  }

  /** Takes note of a sync and returns the effects that waited for it. */
  List<Effect> onPersisted(long sync) {
    List<Effect> released = new ArrayList<>();
    for (Sync s = waiting.peek(); s != null && s.number <= sync; s = waiting.peek()) {
      waiting.remove();
      durableTerm = s.term;
      if (log.termAt(s.lastIndex) == s.lastTerm) {
        durableIndex = Math.max(durableIndex, s.lastIndex);
      }
      if (s.after != null) {
        released.add(s.after);
      }
    }
    return released;
  }

  private Persist write(
      @Nullable HardState state,
      @Nullable Snapshot snapshot,
      boolean resetLog,
      List<LogEntry> entries,
      @Nullable Effect after) {
    lastSync++;
    waiting.add(new Sync(lastSync, writtenTerm, log.lastIndex(), log.lastTerm(), after));
    return new Persist(lastSync, state, snapshot, resetLog, entries);
  }

  private record Sync(
      long number, long term, long lastIndex, long lastTerm, @Nullable Effect after) {}
}
