package org.cassiastack.transport.storage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.cassiastack.consensus.HardState;
import org.cassiastack.consensus.LogEntry;
import org.cassiastack.consensus.MemberSet;
import org.cassiastack.consensus.Persist;
import org.cassiastack.consensus.RecoveredLog;
import org.cassiastack.consensus.Snapshot;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Payload;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class LogStorageTest {
  private static final NodeId NODE = new NodeId("c0");
  private static final long SMALL_SEGMENT = 200;

  @TempDir Path folder;

  @Test
  void a_folder_retains_its_identity_and_another_folder_gets_another_identity() throws Exception {
    RecoveredLog first = reopen();

    assertThat(reopen().self()).isEqualTo(first.self());
    assertThat(reopen(folder.resolve("other")).self()).isNotEqualTo(first.self());
  }

  @Test
  void entries_and_hard_state_are_recovered() throws Exception {
    HardState state = new HardState(3, reopen().self());

    write(new Persist(1, state, null, false, List.of(entry(1, 3), entry(2, 3))));

    assertThat(reopen().hardState()).isEqualTo(state);
    assertThat(reopen().entries()).containsExactly(entry(1, 3), entry(2, 3));
  }

  @Test
  void an_entry_replaces_entries_with_the_same_or_a_higher_index() throws Exception {
    write(entries(1, entry(1, 1), entry(2, 1), entry(3, 1)));
    write(entries(1, entry(2, 2)));

    assertThat(reopen().entries()).containsExactly(entry(1, 1), entry(2, 2));
  }

  @Test
  void entries_before_a_write_that_is_torn_at_any_byte_are_recovered() throws Exception {
    write(entries(1, entry(1, 1)));
    long sizeBefore = Files.size(segment(0));
    write(entries(1, entry(2, 1)));
    byte[] bytes = Files.readAllBytes(segment(0));

    for (int length = (int) sizeBefore; length < bytes.length; length++) {
      Files.write(segment(0), Arrays.copyOf(bytes, length));
      assertThat(reopen().entries()).as("%s bytes", length).containsExactly(entry(1, 1));
    }
  }

  @Test
  void writing_continues_after_a_torn_tail_is_truncated() throws Exception {
    write(entries(1, entry(1, 1), entry(2, 1)));
    byte[] bytes = Files.readAllBytes(segment(0));
    Files.write(segment(0), Arrays.copyOf(bytes, bytes.length - 1));

    write(entries(1, entry(2, 5)));

    assertThat(reopen().entries()).containsExactly(entry(1, 1), entry(2, 5));
  }

  @Test
  void a_new_segment_whose_header_is_torn_at_any_byte_is_deleted() throws Exception {
    fillTwoSegments();
    byte[] header = Files.readAllBytes(segment(1));

    for (int length = 0; length < Segment.HEADER_BYTES; length++) {
      Files.write(segment(1), Arrays.copyOf(header, length));
      assertThat(reopen().entries()).as("%s bytes", length).hasSize(6);
    }
  }

  @Test
  void a_damaged_record_in_an_earlier_segment_is_an_error() throws Exception {
    fillTwoSegments();
    byte[] bytes = Files.readAllBytes(segment(0));
    bytes[bytes.length / 2] ^= 1;
    Files.write(segment(0), bytes);

    assertThatThrownBy(this::reopen)
        .isInstanceOf(StorageException.class)
        .hasMessageContaining("damaged: bad record at byte");
  }

  @Test
  void a_file_with_an_unsupported_format_version_is_an_error() throws Exception {
    write(entries(1, entry(1, 1)));
    byte[] bytes = Files.readAllBytes(segment(0));
    bytes[7] = 9;
    Files.write(segment(0), bytes);

    assertThatThrownBy(this::reopen)
        .isInstanceOf(StorageException.class)
        .hasMessageContaining("format version 9");
  }

  @Test
  void a_missing_identity_is_an_error_if_the_folder_contains_a_log() throws Exception {
    write(entries(1, entry(1, 1)));
    Files.delete(folder.resolve("identity"));

    assertThatThrownBy(this::reopen).isInstanceOf(StorageException.class);
  }

  @Test
  void a_folder_in_use_cannot_be_opened_again() throws Exception {
    try (LogStorage first = LogStorage.open(folder, NODE)) {
      assertThat(first.recovered().entries()).isEmpty();
      assertThatThrownBy(this::reopen)
          .isInstanceOf(StorageException.class)
          .hasMessageContaining("in use");
    }
  }

  @Test
  void a_snapshot_deletes_the_segments_that_it_covers() throws Exception {
    fillTwoSegments();
    Snapshot snapshot = snapshot(6, 1);

    write(new Persist(1, null, snapshot, false, List.of(entry(7, 1))));

    assertThat(reopen().snapshot()).isEqualTo(snapshot);
    assertThat(reopen().entries()).containsExactly(entry(7, 1));
    assertThat(segments()).hasSize(1);
  }

  @Test
  void an_installed_snapshot_removes_all_earlier_entries() throws Exception {
    write(entries(1, entry(1, 1), entry(2, 1), entry(3, 1)));

    write(new Persist(1, null, snapshot(2, 4), true, List.of()));
    write(entries(1, entry(3, 4)));

    assertThat(reopen().entries()).containsExactly(entry(3, 4));
  }

  @Test
  void a_crash_before_the_reset_of_an_installed_snapshot_leaves_no_conflicting_entries()
      throws Exception {
    write(entries(1, entry(1, 1), entry(2, 1), entry(3, 1)));
    write(new Persist(1, null, snapshot(2, 4), false, List.of()));

    assertThat(reopen().entries()).isEmpty();
    write(entries(1, entry(3, 4)));
    assertThat(reopen().entries()).containsExactly(entry(3, 4));
  }

  @Test
  void one_sync_covers_all_waiting_writes() throws Exception {
    CountDownLatch entered = new CountDownLatch(1);
    CountDownLatch released = new CountDownLatch(1);
    AtomicInteger syncs = new AtomicInteger();
    RecordingStorageListener listener = new RecordingStorageListener(101);
    Syncer counting = c -> syncs.incrementAndGet();
    long segmentBytes = LogStorage.SEGMENT_BYTES;
    try (LogStorage storage =
        LogStorage.open(folder, NODE, counting, segmentBytes, Integer.MAX_VALUE)) {
      storage.write(entries(1, entry(1, 1)));
      listener.onFirstPersisted = () -> blockUntilReleased(entered, released);
      storage.start(listener);
      entered.await();
      int syncsBefore = syncs.get();
      for (int i = 2; i <= 101; i++) {
        storage.write(entries(i, entry(i, 1)));
      }
      released.countDown();
      listener.lastPersisted.get(10, TimeUnit.SECONDS);

      assertThat(storage.syncedBatches()).isEqualTo(2);
      assertThat(syncs.get() - syncsBefore).isEqualTo(1);
    }
  }

  @Test
  void a_failed_sync_stops_all_writing_and_notifies_the_listener() throws Exception {
    RecordingStorageListener listener = new RecordingStorageListener(2);
    AtomicInteger syncs = new AtomicInteger();
    LogStorage storage =
        open(
            c -> {
              // Opening a new folder takes four syncs: of the identity file, of the first segment,
              // and of the folder after each.
              if (syncs.incrementAndGet() > 4) {
                throw new IOException("No space left on device");
              }
            });
    try (storage) {
      storage.write(entries(1, entry(1, 1)));
      storage.start(listener);

      assertThat(listener.failure.get(10, TimeUnit.SECONDS)).contains("No space left on device");
      assertThat(listener.persisted).isEmpty();
      assertThat(storage.syncedBatches()).isZero();
    }
  }

  private void fillTwoSegments() throws Exception {
    LogEntry[] six =
        LongStream.rangeClosed(1, 6).mapToObj(i -> entry(i, 1)).toArray(LogEntry[]::new);
    write(entries(1, six));
    assertThat(segments()).hasSize(2);
  }

  private static void blockUntilReleased(CountDownLatch entered, CountDownLatch released) {
    entered.countDown();
    try {
      released.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void write(Persist persist) throws Exception {
    RecordingStorageListener listener = new RecordingStorageListener(persist.sequence());
    try (LogStorage storage = open(Syncer.SYSTEM)) {
      storage.start(listener);
      storage.write(persist);
      listener.lastPersisted.get(10, TimeUnit.SECONDS);
    }
  }

  private RecoveredLog reopen() throws IOException {
    return reopen(folder);
  }

  private static RecoveredLog reopen(Path path) throws IOException {
    try (LogStorage storage = LogStorage.open(path, NODE)) {
      RecoveredLog recovered = storage.recovered();
      storage.start(new RecordingStorageListener(0));
      return recovered;
    }
  }

  private LogStorage open(Syncer syncer) throws IOException {
    return LogStorage.open(folder, NODE, syncer, SMALL_SEGMENT, Integer.MAX_VALUE);
  }

  private List<Path> segments() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.filter(p -> p.toString().endsWith(".log")).sorted().toList();
    }
  }

  private Path segment(int number) throws IOException {
    return segments().get(number);
  }

  private static Persist entries(long sequence, LogEntry... entries) {
    return new Persist(sequence, null, null, false, List.of(entries));
  }

  private static LogEntry entry(long index, long term) {
    return LogEntry.command(index, term, new UUID(term, index), Payload.ofText("command" + index));
  }

  private static Snapshot snapshot(long index, long term) {
    return new Snapshot(index, term, MemberSet.EMPTY, Payload.ofText("state"));
  }

  private static final class RecordingStorageListener implements StorageListener {
    final CompletableFuture<Void> lastPersisted = new CompletableFuture<>();
    final CompletableFuture<String> failure = new CompletableFuture<>();
    final List<Long> persisted = new ArrayList<>();
    Runnable onFirstPersisted = () -> {};
    private final long lastSequence;

    RecordingStorageListener(long lastSequence) {
      this.lastSequence = lastSequence;
    }

    @Override
    public void onPersisted(long sequence) {
      if (persisted.isEmpty()) {
        onFirstPersisted.run();
      }
      persisted.add(sequence);
      if (sequence == lastSequence) {
        lastPersisted.complete(null);
      }
    }

    @Override
    public void onFailed(String reason) {
      failure.complete(reason);
      lastPersisted.completeExceptionally(new IOException(reason));
    }
  }
}
