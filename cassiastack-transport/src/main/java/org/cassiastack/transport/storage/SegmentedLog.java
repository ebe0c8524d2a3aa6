package org.cassiastack.transport.storage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.cassiastack.consensus.HardState;
import org.cassiastack.consensus.LogEntry;
import org.cassiastack.consensus.MemberId;
import org.cassiastack.consensus.Persist;
import org.cassiastack.consensus.RecoveredLog;
import org.cassiastack.consensus.Snapshot;
import org.cassiastack.model.NodeId;
import org.jspecify.annotations.Nullable;

/** Recovers the log in a data folder, and writes batches of hard states, snapshots and entries. */
final class SegmentedLog implements AutoCloseable {
  private final DataFolder folder;
  private final Syncer syncer;
  private final long segmentBytes;
  private final StorageCodec codec = new StorageCodec();
  private final TreeMap<Long, Long> highestIndexBySegment = new TreeMap<>();
  private @Nullable RecoveredLog recovered;
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

  /** Returns the recovered content, until it is released. */
  RecoveredLog recovered() {
    return Objects.requireNonNull(recovered, "the recovered log has been released");
  }

  /** Releases the recovered content, whose entries would otherwise stay in memory. */
  void releaseRecovered() {
    recovered = null;
  }

  /** Writes a batch; one sync of the segment covers all entries of the batch. */
  void write(List<Persist> batch) throws IOException {
    HardState lastState = null;
    for (Persist p : batch) {
      lastState = p.hardState() == null ? lastState : p.hardState();
    }
    // The hard state is written before the entries. A crash between the two leaves a later term
    // with earlier entries. That state is safe, and no write of the batch has been acknowledged
    // yet.
    if (lastState != null) {
      ChecksummedFile.write(folder.hardStateFile(), codec.encode(lastState), syncer);
    }
    boolean appended = false;
    for (Persist p : batch) {
      appended |= append(p);
    }
    if (appended) {
      activeSegment().sync(syncer);
    }
    if (activeSegment().size() >= segmentBytes) {
      startNextSegment();
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
      writeSnapshot(s, p.resetLog());
    }
    long segmentNumber = highestIndexBySegment.lastKey();
    for (LogEntry e : p.entries()) {
      activeSegment().write(codec.encode(e));
      highestIndexBySegment.merge(segmentNumber, e.index(), Math::max);
    }
    return !p.entries().isEmpty() || p.resetLog();
  }

  private void writeSnapshot(Snapshot s, boolean resetLog) throws IOException {
    ChecksummedFile.write(folder.snapshotFile(s.index()), codec.encode(s), syncer);
    if (resetLog) {
      activeSegment().write(StorageCodec.RESET_RECORD);
    }
    for (Path old : folder.snapshotFiles()) {
      if (!old.equals(folder.snapshotFile(s.index()))) {
        Files.delete(old);
      }
    }
    deleteSegments(s.index());
  }

  /**
   * Deletes the oldest segments as long as the snapshot covers all of their entries. The last
   * segment stays.
   */
  private void deleteSegments(long snapshotIndex) throws IOException {
    Map.Entry<Long, Long> oldest = highestIndexBySegment.firstEntry();
    while (highestIndexBySegment.size() > 1 && oldest.getValue() <= snapshotIndex) {
      Files.delete(folder.segmentFile(oldest.getKey()));
      highestIndexBySegment.remove(oldest.getKey());
      oldest = highestIndexBySegment.firstEntry();
    }
  }

  private void startNextSegment() throws IOException {
    activeSegment().close();
    startSegment(highestIndexBySegment.lastKey() + 1);
  }

  private void startSegment(long number) throws IOException {
    active = Segment.create(folder.segmentFile(number), syncer);
    highestIndexBySegment.put(number, 0L);
  }

  private Segment activeSegment() {
    if (active == null) {
      throw new IllegalStateException("no segment is open");
    }
    return active;
  }

  private RecoveredLog recover(MemberId self) throws IOException {
    HardState state =
        Files.exists(folder.hardStateFile())
            ? codec.decodeHardState(ChecksummedFile.read(folder.hardStateFile()))
            : HardState.INITIAL;
    List<Path> snapshots = folder.snapshotFiles();
    Snapshot snapshot =
        snapshots.isEmpty()
            ? null
            : codec.decodeSnapshot(ChecksummedFile.read(snapshots.get(snapshots.size() - 1)));
    Recovery recovery = new Recovery(snapshot, codec);
    recoverSegments(recovery);
    if (active == null) {
      startSegment(highestIndexBySegment.isEmpty() ? 1 : highestIndexBySegment.lastKey() + 1);
    }
    if (recovery.conflictsWithSnapshot()) {
      activeSegment().write(StorageCodec.RESET_RECORD);
      activeSegment().sync(syncer);
    }
    return new RecoveredLog(self, state, snapshot, recovery.entries());
  }

  private void recoverSegments(Recovery recovery) throws IOException {
    List<Path> files = folder.segmentFiles();
    for (int i = 0; i < files.size(); i++) {
      Path file = files.get(i);
      boolean last = i == files.size() - 1;
      recovery.beginSegment(file);
      long validBytes = SegmentReader.read(file, last, recovery::replay);
      if (validBytes == 0) {
        Files.delete(file);
        return;
      }
      highestIndexBySegment.put(DataFolder.segmentNumber(file), recovery.highestIndexOfSegment());
      if (last) {
        active = Segment.reopen(file, validBytes, syncer);
      }
    }
  }
}
