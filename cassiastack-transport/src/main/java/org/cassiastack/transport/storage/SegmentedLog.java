package org.cassiastack.transport.storage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cassiastack.consensus.HardState;
import org.cassiastack.consensus.LogEntry;
import org.cassiastack.consensus.MemberId;
import org.cassiastack.consensus.Persist;
import org.cassiastack.consensus.RecoveredLog;
import org.cassiastack.consensus.Snapshot;
import org.cassiastack.model.NodeId;
import org.jspecify.annotations.Nullable;

/** Reads a data folder and writes batches to it. */
final class SegmentedLog implements AutoCloseable {
  private final DataFolder folder;
  private final Syncer syncer;
  private final long segmentBytes;
  private final StorageCodec records = new StorageCodec();
  private final TreeMap<Long, Long> highestIndex = new TreeMap<>();
  private final RecoveredLog recovered;
  private @Nullable Segment active;

  private SegmentedLog(DataFolder folder, NodeId node, Syncer syncer, long segmentBytes)
      throws IOException {
    this.folder = folder;
    this.syncer = syncer;
    this.segmentBytes = segmentBytes;
    this.recovered = recover(folder.loadOrCreateIdentity(node, syncer));
  }

  static SegmentedLog open(Path path, NodeId node, Syncer syncer, long segmentBytes)
      throws IOException {
    DataFolder folder = DataFolder.open(path);
    try {
      return new SegmentedLog(folder, node, syncer, segmentBytes);
    } catch (IOException e) {
      folder.close();
      throw e;
    }
  }

  RecoveredLog recovered() {
    return recovered;
  }

  /** Writes a batch and syncs it once. */
  void write(List<Persist> batch) throws IOException {
    HardState last = null;
    for (Persist p : batch) {
      last = p.hardState() == null ? last : p.hardState();
    }
    // A later term with earlier entries is safe, and none of the batch is acknowledged yet.
    if (last != null) {
      ChecksummedFile.write(folder.hardStateFile(), records.encode(last), syncer);
    }
    boolean appended = false;
    for (Persist p : batch) {
      appended |= append(p);
    }
    if (appended) {
      segment().sync(syncer);
    }
    if (segment().size() >= segmentBytes) {
      roll();
    }
  }

  @Override
  public void close() throws IOException {
    if (active != null) {
      active.close();
    }
    folder.close();
  }

  private boolean append(Persist p) throws IOException {
    Snapshot s = p.snapshot();
    if (s != null) {
      takeSnapshot(s, p.resetLog());
    }
    long number = highestIndex.lastKey();
    for (LogEntry e : p.entries()) {
      segment().write(records.encode(e));
      highestIndex.merge(number, e.index(), Math::max);
    }
    return !p.entries().isEmpty() || p.resetLog();
  }

  private void takeSnapshot(Snapshot s, boolean resetLog) throws IOException {
    ChecksummedFile.write(folder.snapshotFile(s.index()), records.encode(s), syncer);
    if (resetLog) {
      segment().write(StorageCodec.RESET_RECORD);
    }
    for (Path old : folder.snapshotFiles()) {
      if (!old.equals(folder.snapshotFile(s.index()))) {
        Files.delete(old);
      }
    }
    dropSegments(s.index());
  }

  /** Deletes the oldest segments as long as the snapshot holds all of their entries. */
  private void dropSegments(long index) throws IOException {
    Map.Entry<Long, Long> oldest = highestIndex.firstEntry();
    while (highestIndex.size() > 1 && oldest.getValue() <= index) {
      Files.delete(folder.segmentFile(oldest.getKey()));
      highestIndex.remove(oldest.getKey());
      oldest = highestIndex.firstEntry();
    }
  }

  private void roll() throws IOException {
    segment().close();
    startSegment(highestIndex.lastKey() + 1);
  }

  private void startSegment(long number) throws IOException {
    active = Segment.create(folder.segmentFile(number), syncer);
    highestIndex.put(number, 0L);
  }

  private Segment segment() {
    if (active == null) {
      throw new IllegalStateException("no open segment");
    }
    return active;
  }

  private RecoveredLog recover(MemberId self) throws IOException {
    HardState state =
        Files.exists(folder.hardStateFile())
            ? records.decodeHardState(ChecksummedFile.read(folder.hardStateFile()))
            : HardState.INITIAL;
    List<Path> snapshots = folder.snapshotFiles();
    Snapshot snapshot =
        snapshots.isEmpty()
            ? null
            : records.decodeSnapshot(ChecksummedFile.read(snapshots.get(snapshots.size() - 1)));
    Recovery recovery = new Recovery(snapshot, records);
    recoverSegments(recovery);
    if (active == null) {
      startSegment(highestIndex.isEmpty() ? 1 : highestIndex.lastKey() + 1);
    }
    if (recovery.conflictsWithSnapshot()) {
      segment().write(StorageCodec.RESET_RECORD);
      segment().sync(syncer);
    }
    return new RecoveredLog(self, state, snapshot, recovery.entries());
  }

  private void recoverSegments(Recovery recovery) throws IOException {
    List<Path> files = folder.segmentFiles();
    for (int i = 0; i < files.size(); i++) {
      Path file = files.get(i);
      boolean last = i == files.size() - 1;
      SegmentReader.Content content = SegmentReader.read(file, last);
      if (content.validBytes() == 0) {
        Files.delete(file);
        return;
      }
      highestIndex.put(DataFolder.segmentNumber(file), recovery.replay(file, content.records()));
      if (last) {
        active = Segment.reopen(file, content.validBytes(), syncer);
      }
    }
  }
}
