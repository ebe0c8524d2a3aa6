package org.cassiastack.transport.storage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.cassiastack.consensus.Persist;
import org.cassiastack.consensus.RecoveredLog;
import org.cassiastack.model.NodeId;

/**
 * The data folder of a control member and the thread that writes it.
 *
 * <ol>
 *   <li>Opening a folder recovers its log; a torn tail is cut off, any other damage is an error.
 *   <li>The writer takes all writes that wait and syncs them once (group commit).
 *   <li>The first write that fails is the last: the listener is told and nothing more is written.
 * </ol>
 *
 * <pre>{@code
 * LogStorage storage = LogStorage.open(folder, node);
 * RaftController raft = RaftController.create(settings, storage.recovered(), random);
 * storage.start(listener);
 * storage.write(persist);
 * }</pre>
 *
 * @since 0.1
 */
public final class LogStorage implements AutoCloseable {
  /** Size at which a segment is closed and the next one begun, in bytes. */
  public static final long SEGMENT_BYTES = 16L << 20;

  private static final Persist STOP = new Persist(0, null, null, false, List.of());

  private final SegmentedLog log;
  private final int mostInBatch;
  private final BlockingQueue<Persist> waiting = new LinkedBlockingQueue<>();
  private final Thread writer;
  private volatile StorageListener listener = new NoListener();
  private final AtomicLong syncedBatches = new AtomicLong();

  private LogStorage(SegmentedLog log, int mostInBatch) {
    this.log = log;
    this.mostInBatch = mostInBatch;
    this.writer = new Thread(this::run, "storage");
    this.writer.setDaemon(true);
  }

  /**
   * Opens a data folder, which is made if needed.
   *
   * @param folder the folder, which no other process may use
   * @param node the node that it belongs to
   * @throws IOException when the folder is damaged, in use or cannot be written
   */
  public static LogStorage open(Path folder, NodeId node) throws IOException {
    return open(folder, node, Syncer.SYSTEM, SEGMENT_BYTES, Integer.MAX_VALUE);
  }

  /**
   * Opens a data folder with bounds of its own.
   *
   * @param folder the folder, which no other process may use
   * @param node the node that it belongs to
   * @param syncer brings bytes to the disk
   * @param segmentBytes size at which a segment is closed
   * @param mostInBatch most writes that one sync may cover
   * @throws IOException when the folder is damaged, in use or cannot be written
   */
  public static LogStorage open(
      Path folder, NodeId node, Syncer syncer, long segmentBytes, int mostInBatch)
      throws IOException {
    return new LogStorage(SegmentedLog.open(folder, node, syncer, segmentBytes), mostInBatch);
  }

  /** Returns what the folder held when it was opened. */
  public RecoveredLog recovered() {
    return log.recovered();
  }

  /** Starts the writer thread. */
  public void start(StorageListener told) {
    listener = told;
    writer.start();
  }

  /** Hands over a write without waiting for it. */
  public void write(Persist persist) {
    waiting.add(persist);
  }

  /** Returns the number of batches that were synced. */
  public long syncedBatches() {
    return syncedBatches.get();
  }

  /** Writes what waits, stops the writer and lets go of the folder. */
  @Override
  public void close() throws IOException {
    waiting.add(STOP);
    try {
      writer.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    log.close();
  }

  private void run() {
    try {
      boolean stop = false;
      while (!stop) {
        List<Persist> batch = nextBatch();
        stop = batch.removeIf(STOP::equals);
        if (!batch.isEmpty()) {
          writeBatch(batch);
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException | RuntimeException e) {
      listener.onFailed(String.valueOf(e));
    }
  }

  private List<Persist> nextBatch() throws InterruptedException {
    List<Persist> batch = new ArrayList<>();
    batch.add(waiting.take());
    waiting.drainTo(batch, mostInBatch - 1);
    return batch;
  }

  private void writeBatch(List<Persist> batch) throws IOException {
    log.write(batch);
    syncedBatches.incrementAndGet();
    listener.onPersisted(batch.get(batch.size() - 1).sequence());
  }

  private static final class NoListener implements StorageListener {
    @Override
    public void onPersisted(long sync) {}

    @Override
    public void onFailed(String reason) {}
  }
}
