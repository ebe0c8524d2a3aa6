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
 * Measures how many writes per second a log storage makes durable, with one sync for each write and
 * with group commit, in which one sync covers many writes. Each write holds one log entry. The only
 * argument is the folder in which the data folders are created.
 *
 * @since 0.1
 */
public final class SyncedCommitsMain {
  private static final Duration DURATION = Duration.ofSeconds(5);
  private static final int COMMAND_BYTES = 256;
  private static final int[] MAX_WRITES_IN_FLIGHT = {1, 16, 256};

  private SyncedCommitsMain() {}

  /**
   * Runs the measurement and prints one line for each mode and each maximum number of writes in
   * flight.
   */
  public static void main(String[] args) throws Exception {
    Path parentFolder = Path.of(args[0]);
    for (int maxInFlight : MAX_WRITES_IN_FLIGHT) {
      measure(parentFolder, "single", 1, maxInFlight);
      measure(parentFolder, "group", Integer.MAX_VALUE, maxInFlight);
    }
  }

  private static void measure(Path parentFolder, String mode, int maxBatchSize, int maxInFlight)
      throws Exception {
    Path folder = Files.createTempDirectory(Files.createDirectories(parentFolder), mode);
    Semaphore writePermits = new Semaphore(maxInFlight);
    PermitReleaser listener = new PermitReleaser(writePermits);
    NodeId node = new NodeId("bench");
    try (LogStorage storage =
        LogStorage.open(folder, node, Syncer.SYSTEM, LogStorage.SEGMENT_BYTES, maxBatchSize)) {
      storage.start(listener);
      long startNanos = System.nanoTime();
      long writes = writeUntil(storage, writePermits, startNanos + DURATION.toNanos());
      writePermits.acquire(maxInFlight);
      double seconds = (System.nanoTime() - startNanos) / (double) Duration.ofSeconds(1).toNanos();
      System.out.printf(
          "mode=%s waiting=%d writes=%d writes_per_second=%.0f syncs_per_second=%.0f%n",
          mode, maxInFlight, writes, writes / seconds, storage.syncedBatches() / seconds);
    }
  }

  private static long writeUntil(LogStorage storage, Semaphore writePermits, long endNanos)
      throws InterruptedException {
    Payload command = Payload.wrap(new byte[COMMAND_BYTES]);
    long index = 0;
    while (System.nanoTime() < endNanos) {
      writePermits.acquire();
      index++;
      LogEntry entry = LogEntry.command(index, 1, new UUID(1, index), command);
      storage.write(new Persist(index, null, null, false, List.of(entry)));
    }
    return index;
  }

  /** Releases one permit for each write that has become durable. */
  private static final class PermitReleaser implements StorageListener {
    private final Semaphore writePermits;
    private long lastSequence;

    PermitReleaser(Semaphore writePermits) {
      this.writePermits = writePermits;
    }

    @Override
    public void onPersisted(long sequence) {
      writePermits.release(Math.toIntExact(sequence - lastSequence));
      lastSequence = sequence;
    }

    @Override
    public void onFailed(String reason) {
      throw new IllegalStateException(reason, new IOException(reason));
    }
  }
}
