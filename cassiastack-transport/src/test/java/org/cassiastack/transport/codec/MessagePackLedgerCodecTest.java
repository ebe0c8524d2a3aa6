package org.cassiastack.transport.codec;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Payload;
import org.cassiastack.queue.JobLedger;
import org.cassiastack.queue.LedgerBatch;
import org.cassiastack.queue.LedgerSnapshot;
import org.cassiastack.queue.QueueConfiguration;
import org.cassiastack.queue.QueuedJob;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.queue.QueuedTaskId;
import org.cassiastack.queue.StepSpec;
import org.junit.jupiter.api.Test;

class MessagePackLedgerCodecTest {
  private static final QueuedJobId ID = new QueuedJobId(0xaaL);

  private final MessagePackLedgerCodec codec = MessagePackLedgerCodec.create();

  @Test
  void decoding_an_encoded_batch_with_every_kind_of_change_gives_an_equal_batch() {
    LedgerBatch batch = batch();

    assertThat(codec.decodeBatch(codec.encode(batch))).isEqualTo(batch);
  }

  @Test
  void decoding_an_encoded_snapshot_gives_an_equal_snapshot() {
    JobLedger ledger = JobLedger.create(Duration.ofMinutes(2));
    ledger.apply(batch());

    LedgerSnapshot snapshot = ledger.snapshot();

    assertThat(codec.decodeSnapshot(codec.encode(snapshot))).isEqualTo(snapshot);
  }

  private static LedgerBatch batch() {
    StepSpec step = StepSpec.plain(3, 3_100, 64, Duration.ofMillis(86));
    QueuedJob job = new QueuedJob(ID, "spec", List.of(step), true);
    return new LedgerBatch(
        Instant.parse("2026-12-04T08:00:00Z"),
        true,
        new QueueConfiguration(7, List.of(), Payload.ofText("{}")),
        List.of(new LedgerBatch.DomainSwitch(new FailureDomain("north"), true)),
        List.of(new NodeId("10.0.0.9/agent")),
        List.of(new NodeId("10.0.0.8/agent")),
        List.of(new LedgerBatch.Acceptance(job, "q", 2)),
        List.of(
            new LedgerBatch.TaskEnd(new QueuedTaskId(ID, 0, 0, 1), 1, true),
            new LedgerBatch.TaskEnd(new QueuedTaskId(ID, 0, 0, 2), 1_001, false)),
        List.of(new QueuedJobId(0xbbL)));
  }
}
