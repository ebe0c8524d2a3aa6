package org.cassiastack.transport.storage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.cassiastack.consensus.LogEntry;
import org.cassiastack.consensus.Snapshot;
import org.jspecify.annotations.Nullable;

/** Reconstructs the log from the snapshot and the records of the segments. */
final class Recovery {
  private final @Nullable Snapshot snapshot;
  private final StorageCodec codec;
  private final List<LogEntry> log = new ArrayList<>();
  private Path segment = Path.of("");
  private long highestIndexOfSegment;

  Recovery(@Nullable Snapshot snapshot, StorageCodec codec) {
    this.snapshot = snapshot;
    this.codec = codec;
  }

  /** Begins a segment. Called for all segments, in the order of their numbers. */
  void beginSegment(Path file) {
    segment = file;
    highestIndexOfSegment = 0;
  }

  /** Replays a record of the segment. */
  void replay(byte[] record) throws IOException {
    if (StorageCodec.isReset(record)) {
      log.clear();
    } else {
      LogEntry e = codec.decodeEntry(record);
      add(e);
      highestIndexOfSegment = Math.max(highestIndexOfSegment, e.index());
    }
  }

  /** Returns the highest index of the entries in the segment, or 0 if it has no entries. */
  long highestIndexOfSegment() {
    return highestIndexOfSegment;
  }

  /**
   * Returns whether the entry at the index of the snapshot has another term than the snapshot. The
   * entries then do not belong to the log that the snapshot summarizes. A crash after an installed
   * snapshot was written, and before the reset record was written, leaves the folder in this state.
   */
  boolean conflictsWithSnapshot() {
    Snapshot s = snapshot;
    return s != null && log.stream().anyMatch(e -> e.index() == s.index() && e.term() != s.term());
  }

  /** Returns the entries after the snapshot, or none if the entries conflict with the snapshot. */
  List<LogEntry> entries() {
    long snapshotIndex = snapshot == null ? 0 : snapshot.index();
    return conflictsWithSnapshot()
        ? List.of()
        : log.stream().filter(e -> e.index() > snapshotIndex).toList();
  }

  /**
   * Adds an entry in place of the entries with the same or a higher index. Entries before the
   * snapshot are not retained.
   */
  private void add(LogEntry e) throws StorageException {
    while (!log.isEmpty() && lastIndex() >= e.index()) {
      log.remove(log.size() - 1);
    }
    long snapshotIndex = snapshot == null ? 0 : snapshot.index();
    if (e.index() < snapshotIndex) {
      return;
    }
    long previousIndex = log.isEmpty() ? snapshotIndex : lastIndex();
    if (e.index() > previousIndex + 1) {
      throw StorageException.corrupt(segment, "missing log entry " + (previousIndex + 1));
    }
    log.add(e);
  }

  private long lastIndex() {
    return log.get(log.size() - 1).index();
  }
}
