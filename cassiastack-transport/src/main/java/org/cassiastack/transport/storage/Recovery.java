package org.cassiastack.transport.storage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.cassiastack.consensus.LogEntry;
import org.cassiastack.consensus.Snapshot;
import org.jspecify.annotations.Nullable;

/** Puts the log together from a snapshot and the records of the segments, in order. */
final class Recovery {
  private final @Nullable Snapshot snapshot;
  private final StorageCodec records;
  private final List<LogEntry> log = new ArrayList<>();

  Recovery(@Nullable Snapshot snapshot, StorageCodec records) {
    this.snapshot = snapshot;
    this.records = records;
  }

  /** Takes the next segment and returns the highest index in it, or 0. */
  long replay(Path file, List<byte[]> segment) throws IOException {
    long highest = 0;
    for (byte[] record : segment) {
      if (StorageCodec.isReset(record)) {
        log.clear();
      } else {
        LogEntry e = records.decodeEntry(record);
        add(file, e);
        highest = Math.max(highest, e.index());
      }
    }
    return highest;
  }

  /**
   * Tells whether the entries are of another history than the snapshot, as a crash between an
   * installed snapshot and its reset leaves them.
   */
  boolean conflictsWithSnapshot() {
    Snapshot s = snapshot;
    return s != null && log.stream().anyMatch(e -> e.index() == s.index() && e.term() != s.term());
  }

  /** Returns the entries behind the snapshot. */
  List<LogEntry> entries() {
    long base = snapshot == null ? 0 : snapshot.index();
    return conflictsWithSnapshot()
        ? List.of()
        : log.stream().filter(e -> e.index() > base).toList();
  }

  private void add(Path file, LogEntry e) throws StorageException {
    while (!log.isEmpty() && lastIndex() >= e.index()) {
      log.remove(log.size() - 1);
    }
    long base = snapshot == null ? 0 : snapshot.index();
    if (!log.isEmpty() && lastIndex() + 1 != e.index()) {
      if (lastIndex() >= base) {
        throw StorageException.corrupt(file, "no entry " + (lastIndex() + 1));
      }
      log.clear();
    }
    if (log.isEmpty() && e.index() > base + 1) {
      throw StorageException.corrupt(file, "no entry " + (base + 1));
    }
    log.add(e);
  }

  private long lastIndex() {
    return log.get(log.size() - 1).index();
  }
}
