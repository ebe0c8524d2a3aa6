package org.cassiastack.queue;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Payload;
import org.cassiastack.model.ServiceName;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

class JobLedgerTest {
  private static final Instant NOW = Instant.parse("2026-12-04T08:00:00Z");
  private static final QueuedJobId ID = new QueuedJobId(0x5c0e7a21d94b36f8L);
  private static final int ATTEMPTS = 2;

  private final JobLedger ledger = JobLedger.create(Duration.ofMinutes(2));

  @Test
  void a_job_is_completed_once_every_task_is_done() {
    accept(job(2));

    end(task(0), 1, true);
    boolean liveBefore = ledger.live(ID) != null;
    end(task(1), 1, true);

    assertThat(liveBefore).isTrue();
    assertThat(ledger.finalPhase(ID)).isEqualTo(JobPhase.COMPLETED);
  }

  @Test
  void a_job_fails_when_one_task_has_failed_in_as_many_runs_as_its_queue_allows() {
    accept(job(2));

    end(task(0), 1, false);
    end(task(1), 1, false);
    JobPhase before = ledger.finalPhase(ID);
    end(task(0), 2, false);

    assertThat(before).isNull();
    assertThat(ledger.finalPhase(ID)).isEqualTo(JobPhase.FAILED);
  }

  @Test
  void a_failed_run_that_is_told_twice_counts_once() {
    accept(job(1));

    end(task(0), 1, false);
    end(task(0), 1, false);

    assertThat(ledger.finalPhase(ID)).isNull();
  }

  @Test
  void an_identity_that_is_known_stays_the_job_that_it_was() {
    accept(job(1));
    end(task(0), 1, true);

    accept(job(3));

    assertThat(ledger.finalPhase(ID)).isEqualTo(JobPhase.COMPLETED);
    assertThat(ledger.live(ID)).isNull();
  }

  @Test
  void a_cancelled_job_takes_no_more_ends() {
    accept(job(1));
    apply(batch(NOW, null, List.of(), List.of(), List.of(ID)));

    end(task(0), 1, true);

    assertThat(ledger.finalPhase(ID)).isEqualTo(JobPhase.CANCELLED);
  }

  @Test
  void an_ended_job_is_forgotten_after_the_retention() {
    accept(job(1));
    end(task(0), 1, true);

    apply(batch(NOW.plusSeconds(119), null, List.of(), List.of(), List.of()));
    boolean known = ledger.contains(ID);
    apply(batch(NOW.plusSeconds(121), null, List.of(), List.of(), List.of()));

    assertThat(known).isTrue();
    assertThat(ledger.contains(ID)).isFalse();
  }

  @Test
  void the_highest_version_is_in_force_whatever_the_order() {
    apply(batch(NOW, configuration(7, "checks"), List.of(), List.of(), List.of()));

    apply(batch(NOW, configuration(5, "others"), List.of(), List.of(), List.of()));

    assertThat(ledger.configurationVersion()).isEqualTo(7);
    assertThat(ledger.configuration().find("ice.example", "/others/1")).isNull();
  }

  @Test
  void other_content_under_the_version_in_force_changes_nothing() {
    apply(batch(NOW, configuration(7, "checks"), List.of(), List.of(), List.of()));

    apply(batch(NOW, configuration(7, "others"), List.of(), List.of(), List.of()));

    assertThat(ledger.configuration().find("ice.example", "/checks/1")).isNotNull();
  }

  @Test
  void a_live_job_keeps_its_queue_when_that_is_removed() {
    apply(batch(NOW, configuration(1, "checks"), List.of(), List.of(), List.of()));
    accept(job(1));

    apply(batch(NOW, configuration(2, "others"), List.of(), List.of(), List.of()));
    apply(batch(NOW, configuration(3, "others"), List.of(), List.of(), List.of()));

    assertThat(ledger.queueOf(ledger.live(ID)).name()).isEqualTo("checks");
  }

  @Test
  void a_restored_ledger_goes_on_as_the_one_it_was_taken_from() {
    apply(batch(NOW, configuration(1, "checks"), List.of(), List.of(), List.of()));
    accept(job(2));
    end(task(0), 1, true);
    end(task(1), 1, false);
    JobLedger copy = JobLedger.create(Duration.ofMinutes(2));

    copy.restore(ledger.snapshot());
    LedgerBatch last =
        batch(NOW, null, List.of(), List.of(new LedgerBatch.TaskEnd(task(1), 2, false)), List.of());
    copy.apply(last);
    ledger.apply(last);

    assertThat(copy.snapshot()).isEqualTo(ledger.snapshot());
    assertThat(copy.finalPhase(ID)).isEqualTo(JobPhase.FAILED);
  }

  @Test
  void a_failure_domain_is_out_until_it_is_brought_back() {
    FailureDomain a = new FailureDomain("a");
    apply(domains(new LedgerBatch.DomainSwitch(a, true)));
    boolean out = ledger.isOut(a);

    apply(domains(new LedgerBatch.DomainSwitch(a, false)));

    assertThat(out).isTrue();
    assertThat(ledger.isOut(a)).isFalse();
  }

  private void accept(QueuedJob job) {
    LedgerBatch.Acceptance a = new LedgerBatch.Acceptance(job, "checks", ATTEMPTS);
    apply(batch(NOW, null, List.of(a), List.of(), List.of()));
  }

  private void end(QueuedTaskId task, long run, boolean done) {
    LedgerBatch.TaskEnd e = new LedgerBatch.TaskEnd(task, run, done);
    apply(batch(NOW, null, List.of(), List.of(e), List.of()));
  }

  private void apply(LedgerBatch batch) {
    ledger.apply(batch);
  }

  private static LedgerBatch batch(
      Instant at,
      @Nullable QueueConfiguration configuration,
      List<LedgerBatch.Acceptance> accepted,
      List<LedgerBatch.TaskEnd> ends,
      List<QueuedJobId> cancelled) {
    return new LedgerBatch(
        at,
        false,
        configuration,
        List.of(),
        List.<NodeId>of(),
        List.of(),
        accepted,
        ends,
        cancelled);
  }

  private static LedgerBatch domains(LedgerBatch.DomainSwitch change) {
    return new LedgerBatch(
        NOW, false, null, List.of(change), List.of(), List.of(), List.of(), List.of(), List.of());
  }

  private static QueueConfiguration configuration(long version, String queue) {
    Queue q =
        new Queue(
            queue,
            "ice.example",
            "/" + queue + "/",
            new ServiceName("ice"),
            0,
            ATTEMPTS,
            1.6,
            Duration.ofMillis(60));
    return new QueueConfiguration(version, List.of(q), Payload.ofText("document"));
  }

  private static QueuedJob job(int tasks) {
    StepSpec step = StepSpec.plain(tasks, 1_000, 64, Duration.ofMillis(80));
    return new QueuedJob(ID, "spec", List.of(step), true);
  }

  private static QueuedTaskId task(int index) {
    return new QueuedTaskId(ID, 0, 0, index);
  }
}
