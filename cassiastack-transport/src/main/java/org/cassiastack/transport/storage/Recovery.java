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

  Recovery(@Nullable Snapshot snapshot, StorageCodec codec) {
    this.snapshot = snapshot;
    this.codec = codec;
  }

  /**
   * Replays a segment. Called for all segments, in the order of their numbers.
   *
   * @param file the segment file
   * @param segment the records of the segment
   * @return the highest index of the entries in the segment, or 0 if the segment has no entries
   */
  long replay(Path file, List<byte[]> segment) throws IOException {
    long highest = 0;
    for (byte[] record : segment) {
      if (StorageCodec.isReset(record)) {
        log.clear();
      } else {
        LogEntry e = codec.decodeEntry(record);
        add(file, e);
        highest = Math.max(highest, e.index());
      }
    }
    return highest;
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

  private void add(Path file, LogEntry e) throws StorageException {
    while (!log.isEmpty() && lastIndex() >= e.index()) {
      log.remove(log.size() - 1);
    }
    long snapshotIndex = snapshot == null ? 0 : snapshot.index();
    if (!log.isEmpty() && lastIndex() + 1 != e.index()) {
      if (lastIndex() >= snapshotIndex) {
        throw StorageException.corrupt(file, "missing log entry " + (lastIndex() + 1));
      }
      log.clear();
    }
    if (log.isEmpty() && e.index() > snapshotIndex + 1) {
      throw StorageException.corrupt(file, "missing log entry " + (snapshotIndex + 1));
    }
    log.add(e);
  }

  private long lastIndex() {
    return log.get(log.size() - 1).index();
  }
}
