package org.cassiastack.consensus;

import java.util.List;
import org.cassiastack.controller.Effect;
import org.jspecify.annotations.Nullable;

/**
 * The effect of writing to the data folder and syncing it. Writes take effect in the order of their
 * numbers; {@link Persisted} answers once a write and all before it are synced.
 *
 * @param sequence number of the write, growing by one
 * @param hardState new term and vote, or null when unchanged
 * @param snapshot new snapshot, or null; the log up to its index may be dropped
 * @param resetLog whether every earlier entry is dropped together with the snapshot's arrival
 * @param entries entries to append; the first removes any earlier entry at its index or behind
 * @since 0.1
 */
public record Persist(
    long sequence,
    @Nullable HardState hardState,
    @Nullable Snapshot snapshot,
    boolean resetLog,
    List<LogEntry> entries)
    implements Effect {
  /** Makes an effect; the list is copied. */
  public Persist {
    entries = List.copyOf(entries);
  }
}
