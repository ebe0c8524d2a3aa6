package org.cassiastack.consensus;

import java.util.List;
import org.cassiastack.controller.Effect;
import org.jspecify.annotations.Nullable;

/**
 * Requests a write to the data folder, followed by a sync. Writes take effect in the order of their
 * sequence numbers. {@link Persisted} reports that a write and all writes before it are durable.
 *
 * @param sequence sequence number of the write, increasing by one
 * @param hardState new term and vote, or null if unchanged
 * @param snapshot new snapshot, or null; log entries up to its index may be deleted
 * @param resetLog whether all stored entries are deleted when the snapshot is written, including
 *     those after its index
 * @param entries entries to append; the first entry replaces any stored entry that has the same or
 *     a higher index
 * @since 0.1
 */
public record Persist(
    long sequence,
    @Nullable HardState hardState,
    @Nullable Snapshot snapshot,
    boolean resetLog,
    List<LogEntry> entries)
    implements Effect {
  /** Creates an effect; the list is copied. */
  public Persist {
    entries = List.copyOf(entries);
  }
}
