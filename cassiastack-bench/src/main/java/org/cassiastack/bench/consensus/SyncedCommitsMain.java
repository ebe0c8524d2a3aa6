package org.cassiastack.bench.consensus;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.Semaphore;
import org.cassiastack.consensus.LogEntry;
import org.cassiastack.consensus.Persist;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Payload;
import org.cassiastack.transport.storage.LogStorage;
import org.cassiastack.transport.storage.StorageListener;
import org.cassiastack.transport.storage.Syncer;

/**
 * Measures how many writes of one entry a data folder syncs in a second, with one sync for each
 * write and with group commit. The one argument is the parent of the folders that it makes.
 *
 * @since 0.1
 */
public final class SyncedCommitsMain {
  private static final Duration LENGTH = Duration.ofSeconds(5);
  private static final int COMMAND_BYTES = 256;
  private static final int[] WAITING = {1, 16, 256};

  private SyncedCommitsMain() {}

  /** Runs the measurement and prints one line for each combination. */
  public static void main(String[] args) throws Exception {
    Path parent = Path.of(args[0]);
    for (int waiting : WAITING) {
      measure(parent, "single", 1, waiting);
      measure(parent, "group", Integer.MAX_VALUE, waiting);
    }
  }

  private static void measure(Path parent, String mode, int mostInBatch, int waiting)
      throws Exception {
    Path folder = Files.createTempDirectory(Files.createDirectories(parent), mode);
    Semaphore free = new Semaphore(waiting);
    Releasing listener = new Releasing(free);
    NodeId node = new NodeId("bench");
    try (LogStorage storage =
        LogStorage.open(folder, node, Syncer.SYSTEM, LogStorage.SEGMENT_BYTES, mostInBatch)) {
      storage.start(listener);
      long start = System.nanoTime();
      long writes = write(storage, free, start + LENGTH.toNanos());
      free.acquire(waiting);
      double seconds = (System.nanoTime() - start) / (double) Duration.ofSeconds(1).toNanos();
      System.out.printf(
          "mode=%s waiting=%d writes=%d writes_per_second=%.0f syncs_per_second=%.0f%n",
          mode, waiting, writes, writes / seconds, storage.syncedBatches() / seconds);
    }
  }

  private static long write(LogStorage storage, Semaphore free, long end)
      throws InterruptedException {
    Payload command = Payload.wrap(new byte[COMMAND_BYTES]);
    long index = 0;
    while (System.nanoTime() < end) {
      free.acquire();
      index++;
      LogEntry entry = LogEntry.command(index, 1, new UUID(1, index), command);
      storage.write(new Persist(index, null, null, false, List.of(entry)));
    }
    return index;
  }

  private static final class Releasing implements StorageListener {
    private final Semaphore free;
    private long last;

    Releasing(Semaphore free) {
      this.free = free;
    }

    @Override
    public void onPersisted(long sync) {
      free.release(Math.toIntExact(sync - last));
      last = sync;
    }

    @Override
    public void onFailed(String reason) {
      throw new IllegalStateException(reason, new IOException(reason));
    }
  }
}
