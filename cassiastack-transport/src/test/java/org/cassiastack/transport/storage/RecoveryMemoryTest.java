package org.cassiastack.transport.storage;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.cassiastack.consensus.LogEntry;
import org.cassiastack.consensus.Persist;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Payload;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the memory that a process needs to read its log at the start. */
class RecoveryMemoryTest {
  private static final NodeId NODE = new NodeId("c0");

  /** A log as earlier versions left it: changes of a configuration with 350 queues. */
  private static final int ENTRIES = 900;

  private static final int COMMAND_BYTES = 69_000;

  /** Heap of a control process in deploy/system.toml. */
  private static final String HEAP = "-Xmx96m";

  @TempDir Path folder;

  /** Guards against a control process that runs out of memory at each start. */
  @Test
  void a_log_of_hundreds_of_large_changes_is_read_in_the_heap_of_a_control_process()
      throws Exception {
    writeLog();

    Process reader =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                HEAP,
                "-XX:+UseSerialGC",
                "-cp",
                System.getProperty("java.class.path"),
                LogReader.class.getName(),
                folder.toString())
            .redirectErrorStream(true)
            .start();
    String output = new String(reader.getInputStream().readAllBytes(), StandardCharsets.UTF_8);

    assertThat(output).contains(ENTRIES + " entries");
    assertThat(reader.waitFor()).isZero();
  }

  private void writeLog() throws Exception {
    CountDownLatch persisted = new CountDownLatch(1);
    try (LogStorage storage = LogStorage.open(folder, NODE)) {
      storage.start(new CountingListener(persisted));
      for (int i = 1; i <= ENTRIES; i++) {
        Payload command = Payload.wrap(new byte[COMMAND_BYTES]);
        LogEntry e = LogEntry.command(i, 1, new UUID(1, i), command);
        storage.write(new Persist(i, null, null, false, List.of(e)));
      }
      assertThat(persisted.await(60, TimeUnit.SECONDS)).isTrue();
    }
  }

  private record CountingListener(CountDownLatch persisted) implements StorageListener {
    @Override
    public void onPersisted(long sequence) {
      if (sequence == ENTRIES) {
        persisted.countDown();
      }
    }

    @Override
    public void onFailed(String reason) {}
  }

  /** Main class of a process that reads a log and holds its entries. */
  static final class LogReader {
    private LogReader() {}

    public static void main(String[] arguments) throws Exception {
      try (LogStorage storage = LogStorage.open(Path.of(arguments[0]), NODE)) {
        List<LogEntry> entries = new ArrayList<>(storage.recovered().entries());
        storage.start(new CountingListener(new CountDownLatch(1)));
        System.out.println(entries.size() + " entries");
      }
    }
  }
}
