package org.cassiastack.queue;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cassiastack.model.Payload;
import org.cassiastack.model.ServiceName;
import org.jspecify.annotations.Nullable;

/** Properties of the ledger over random logs, in which changes and jobs come in any order. */
class JobLedgerProperties {
  private static final Instant START = Instant.parse("2026-12-04T08:00:00Z");
  private static final int ENTRIES = 60;
  private static final int QUEUES = 4;
  private static final int JOBS = 12;

  /** Guards against a leader that cannot start because the ledger holds a job without a queue. */
  @Property(tries = 300, seed = "31")
  void the_queue_of_every_live_job_is_known_after_any_log(@ForAll long seed) {
    Random random = new Random(seed);
    JobLedger ledger = newLedger();
    for (int i = 0; i < ENTRIES; i++) {
      ledger.apply(batch(i, random));

      assertThat(ledger.live()).allSatisfy(j -> assertThat(ledger.queueOf(j)).isNotNull());
    }
  }

  @Property(tries = 300, seed = "31")
  void a_ledger_that_is_restored_in_the_middle_of_a_log_ends_in_the_same_state(@ForAll long seed) {
    Random random = new Random(seed);
    JobLedger ledger = newLedger();
    JobLedger restored = newLedger();
    for (int i = 0; i < ENTRIES; i++) {
      LedgerBatch b = batch(i, random);
      if (random.nextInt(10) == 0) {
        restored = newLedger();
        restored.restore(ledger.snapshot());
      }
      ledger.apply(b);
      restored.apply(b);
    }

    assertThat(restored.snapshot()).isEqualTo(ledger.snapshot());
  }

  private static JobLedger newLedger() {
    return JobLedger.create(Duration.ofMinutes(2));
  }

  private static LedgerBatch batch(int number, Random random) {
    List<LedgerBatch.Acceptance> accepted = new ArrayList<>();
    List<LedgerBatch.TaskEnd> ends = new ArrayList<>();
    List<QueuedJobId> cancelled = new ArrayList<>();
    if (random.nextInt(2) == 0) {
      QueuedJob job =
          new QueuedJob(
              id(random),
              "spec",
              List.of(StepSpec.plain(1, 1_000, 64, Duration.ofMillis(80))),
              true);
      accepted.add(new LedgerBatch.Acceptance(job, "q" + random.nextInt(QUEUES), 2));
    }
    if (random.nextInt(4) == 0) {
      QueuedTaskId task = new QueuedTaskId(id(random), 0, 0, 0);
      ends.add(new LedgerBatch.TaskEnd(task, number, random.nextBoolean()));
    }
    if (random.nextInt(8) == 0) {
      cancelled.add(id(random));
    }
    return new LedgerBatch(
        START.plusSeconds(number),
        random.nextInt(20) == 0,
        random.nextInt(3) == 0 ? configuration(random) : null,
        List.of(),
        List.of(),
        List.of(),
        accepted,
        ends,
        cancelled);
  }

  private static QueuedJobId id(Random random) {
    return new QueuedJobId(random.nextInt(JOBS));
  }

  /** Returns a configuration of random queues; its version may be lower than an earlier one. */
  private static @Nullable QueueConfiguration configuration(Random random) {
    List<Queue> queues = new ArrayList<>();
    for (int i = 0; i < QUEUES; i++) {
      if (random.nextBoolean()) {
        ServiceName service = new ServiceName("s" + random.nextInt(2));
        String name = "q" + i;
        queues.add(
            new Queue(name, "h", "/" + name + "/", service, 0, 2, 1.6, Duration.ofMillis(60)));
      }
    }
    return new QueueConfiguration(random.nextInt(1_000), queues, Payload.ofText("document"));
  }
}
