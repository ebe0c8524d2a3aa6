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
 * The data folder of a control member and the thread that writes to the folder.
 *
 * <ol>
 *   <li>Opening a folder recovers its log. An incomplete record at the end of the last segment, as
 *       a crash leaves it, is truncated; any other damage is an error.
 *   <li>The writer thread takes all waiting writes, up to the maximum batch size, and makes them
 *       durable with one sync (group commit).
 *   <li>If a write fails, the listener is notified and nothing more is written.
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
  /** Size in bytes at which a segment is closed and the next segment is started. */
  public static final long SEGMENT_BYTES = 16L << 20;

  private static final Persist STOP = new Persist(0, null, null, false, List.of());

  private final SegmentedLog log;
  private final int maxBatchSize;
  private final BlockingQueue<Persist> queue = new LinkedBlockingQueue<>();
  private final Thread writer;
  private volatile StorageListener listener = new NoListener();
  private final AtomicLong syncedBatches = new AtomicLong();

  private LogStorage(SegmentedLog log, int maxBatchSize) {
    this.log = log;
    this.maxBatchSize = maxBatchSize;
    this.writer = new Thread(this::runWriter, "storage");
    this.writer.setDaemon(true);
  }

  /**
   * Opens a data folder, which is created if it does not exist.
   *
   * @param folder the folder, which must not be in use by another process
   * @param node the node to which the folder belongs
   * @throws IOException if the folder is damaged, in use or cannot be written
   */
  public static LogStorage open(Path folder, NodeId node) throws IOException {
    return open(folder, node, Syncer.SYSTEM, SEGMENT_BYTES, Integer.MAX_VALUE);
  }

  /**
   * Opens a data folder with the given limits.
   *
   * @param folder the folder, which must not be in use by another process
   * @param node the node to which the folder belongs
   * @param syncer forces written bytes to the disk
   * @param segmentBytes size in bytes at which a segment is closed
   * @param maxBatchSize maximum number of writes that one sync covers
   * @throws IOException if the folder is damaged, in use or cannot be written
   */
  public static LogStorage open(
      Path folder, NodeId node, Syncer syncer, long segmentBytes, int maxBatchSize)
      throws IOException {
    return new LogStorage(SegmentedLog.open(folder, node, syncer, segmentBytes), maxBatchSize);
  }

  /** Returns the content of the folder when it was opened; only before {@link #start}. */
  public RecoveredLog recovered() {
    return log.recovered();
  }

  /** Starts the writer thread, which reports to a listener, and releases the recovered content. */
  public void start(StorageListener storageListener) {
    log.releaseRecovered();
    listener = storageListener;
    writer.start();
  }

  /** Adds a write to the queue of the writer thread; does not wait until it is durable. */
  public void write(Persist persist) {
    queue.add(persist);
  }

  /** Returns the number of batches that have been synced. */
  public long syncedBatches() {
    return syncedBatches.get();
  }

  /** Writes all waiting writes, stops the writer thread and releases the lock of the folder. */
  @Override
  public void close() throws IOException {
    queue.add(STOP);
    try {
      writer.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    log.close();
  }

  private void runWriter() {
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
    batch.add(queue.take());
    queue.drainTo(batch, maxBatchSize - 1);
    return batch;
  }

  private void writeBatch(List<Persist> batch) throws IOException {
    log.write(batch);
    syncedBatches.incrementAndGet();
    listener.onPersisted(batch.get(batch.size() - 1).sequence());
  }

  private static final class NoListener implements StorageListener {
    @Override
    public void onPersisted(long sequence) {}

    @Override
    public void onFailed(String reason) {}
  }
}
