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

/** Tracks which parts of the log and of the hard state are durable. */
final class PersistenceTracker {
  private final RaftLog log;
  private final Deque<Write> pendingWrites = new ArrayDeque<>();
  private long lastSequence;
  private long durableIndex;
  private long durableTerm;
  private long writtenTerm;

  PersistenceTracker(RaftLog log, HardState recovered) {
    this.log = log;
    this.durableIndex = log.lastIndex();
    this.durableTerm = recovered.term();
    this.writtenTerm = recovered.term();
  }

  /** Returns the index up to which the current log is durable. */
  long durableIndex() {
    return durableIndex;
  }

  /** Returns the latest durable term. */
  long durableTerm() {
    return durableTerm;
  }

  /**
   * Returns the effect that writes the hard state.
   *
   * @param heldEffect effect that {@link #onPersisted} returns once the hard state is durable, or
   *     null
   */
  Persist persistHardState(HardState state, @Nullable Effect heldEffect) {
    writtenTerm = state.term();
    return write(state, null, false, List.of(), heldEffect);
  }

  Persist persistEntries(List<LogEntry> entries) {
    return write(null, null, false, entries, null);
  }

  Persist persistSnapshot(Snapshot snapshot, boolean resetLog) {
    return write(null, snapshot, resetLog, List.of(), null);
  }

  /** Records that the entries from an index on were removed from the log. */
  void onTruncatedFrom(long index) {
    durableIndex = Math.min(durableIndex, index - 1);
  }

  /** Records that writes are durable up to a sequence number; returns the effects held for them. */
  List<Effect> onPersisted(long sequence) {
    List<Effect> released = new ArrayList<>();
    for (Write w = pendingWrites.peek();
        w != null && w.sequence <= sequence;
        w = pendingWrites.peek()) {
      pendingWrites.remove();
      durableTerm = w.term;
      if (log.termAt(w.lastIndex) == w.lastTerm) {
        durableIndex = Math.max(durableIndex, w.lastIndex);
      }
      if (w.heldEffect != null) {
        released.add(w.heldEffect);
      }
    }
    return released;
  }

  private Persist write(
      @Nullable HardState state,
      @Nullable Snapshot snapshot,
      boolean resetLog,
      List<LogEntry> entries,
      @Nullable Effect heldEffect) {
    lastSequence++;
    pendingWrites.add(
        new Write(lastSequence, writtenTerm, log.lastIndex(), log.lastTerm(), heldEffect));
    return new Persist(lastSequence, state, snapshot, resetLog, entries);
  }

  private record Write(
      long sequence, long term, long lastIndex, long lastTerm, @Nullable Effect heldEffect) {}
}
