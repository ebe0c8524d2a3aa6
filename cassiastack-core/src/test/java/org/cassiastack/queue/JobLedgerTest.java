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
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class JobLedgerTest {
  private static final Instant NOW = Instant.parse("2026-12-04T08:00:00Z");
  private static final QueuedJobId ID = new QueuedJobId(0x5c0e7a21d94b36f8L);
  private static final int MAX_ATTEMPTS = 2;

  private final JobLedger ledger = JobLedger.create(Duration.ofMinutes(2));

  @BeforeEach
  void declareTheQueue() {
    apply(batch(NOW, configuration(0, "checks"), List.of(), List.of(), List.of()));
  }

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
    JobPhase phaseBefore = ledger.finalPhase(ID);
    end(task(0), 2, false);

    assertThat(phaseBefore).isNull();
    assertThat(ledger.finalPhase(ID)).isEqualTo(JobPhase.FAILED);
  }

  @Test
  void a_failed_run_that_is_reported_twice_counts_once() {
    accept(job(1));

    end(task(0), 1, false);
    end(task(0), 1, false);

    assertThat(ledger.finalPhase(ID)).isNull();
  }

  @Test
  void a_second_acceptance_under_a_known_identity_is_ignored() {
    accept(job(1));
    end(task(0), 1, true);

    accept(job(3));

    assertThat(ledger.finalPhase(ID)).isEqualTo(JobPhase.COMPLETED);
    assertThat(ledger.live(ID)).isNull();
  }

  @Test
  void a_cancelled_job_ignores_later_task_ends() {
    accept(job(1));
    cancel();

    end(task(0), 1, true);

    assertThat(ledger.finalPhase(ID)).isEqualTo(JobPhase.CANCELLED);
  }

  /** Guards against refused jobs that run because a copy of their submission comes late. */
  @Test
  void a_job_that_was_cancelled_before_its_acceptance_is_never_accepted() {
    cancel();

    accept(job(1));

    assertThat(ledger.contains(ID)).isFalse();
    assertThat(ledger.isRefused(ID)).isTrue();
    assertThat(ledger.finalPhase(ID)).isNull();
  }

  @Test
  void a_refused_job_is_forgotten_when_no_copy_of_it_can_come_any_more() {
    cancel();

    Instant later = NOW.plus(JobLedger.REFUSAL_RETENTION).plusSeconds(1);
    apply(batch(later, null, List.of(), List.of(), List.of()));

    assertThat(ledger.isRefused(ID)).isFalse();
  }

  @Test
  void a_restored_ledger_knows_the_refused_jobs_of_the_original() {
    cancel();
    JobLedger restored = JobLedger.create(Duration.ofMinutes(2));

    restored.restore(ledger.snapshot());

    assertThat(restored.isRefused(ID)).isTrue();
    assertThat(restored.contains(ID)).isFalse();
  }

  @Test
  void an_ended_job_is_evicted_after_the_retention() {
    accept(job(1));
    end(task(0), 1, true);

    apply(batch(NOW.plusSeconds(119), null, List.of(), List.of(), List.of()));
    boolean containedBefore = ledger.contains(ID);
    apply(batch(NOW.plusSeconds(121), null, List.of(), List.of(), List.of()));

    assertThat(containedBefore).isTrue();
    assertThat(ledger.contains(ID)).isFalse();
  }

  @Test
  void the_highest_configuration_version_is_in_force_in_any_order_of_arrival() {
    apply(batch(NOW, configuration(7, "checks"), List.of(), List.of(), List.of()));

    apply(batch(NOW, configuration(5, "others"), List.of(), List.of(), List.of()));

    assertThat(ledger.configurationVersion()).isEqualTo(7);
    assertThat(ledger.configuration().find("ice.example", "/others/1")).isNull();
  }

  @Test
  void a_different_configuration_with_the_version_in_force_is_ignored() {
    apply(batch(NOW, configuration(7, "checks"), List.of(), List.of(), List.of()));

    apply(batch(NOW, configuration(7, "others"), List.of(), List.of(), List.of()));

    assertThat(ledger.configuration().find("ice.example", "/checks/1")).isNotNull();
  }

  @Test
  void a_live_job_keeps_its_queue_when_the_queue_is_removed() {
    apply(batch(NOW, configuration(1, "checks"), List.of(), List.of(), List.of()));
    accept(job(1));

    apply(batch(NOW, configuration(2, "others"), List.of(), List.of(), List.of()));
    apply(batch(NOW, configuration(3, "others"), List.of(), List.of(), List.of()));

    assertThat(ledger.queueOf(ledger.live(ID)).name()).isEqualTo("checks");
  }

  /** Guards against a leader that cannot start because the ledger holds a job without a queue. */
  @Test
  void accepts_no_job_whose_queue_is_no_longer_known_when_the_acceptance_is_applied() {
    apply(batch(NOW, configuration(2, "others"), List.of(), List.of(), List.of()));
    apply(batch(NOW, configuration(3, "others"), List.of(), List.of(), List.of()));

    accept(job(1));

    assertThat(ledger.contains(ID)).isFalse();
  }

  /** Guards against snapshots of earlier versions, which can hold a job without a queue. */
  @Test
  void drops_a_job_of_a_snapshot_whose_queue_the_snapshot_does_not_hold() {
    accept(job(1));
    LedgerSnapshot s = ledger.snapshot();
    JobLedger restored = JobLedger.create(Duration.ofMinutes(2));

    restored.restore(
        new LedgerSnapshot(
            s.at(),
            s.generation(),
            configuration(3, "others"),
            List.of(),
            s.domainsOut(),
            s.agents(),
            s.liveJobs(),
            s.endedJobs()));

    assertThat(restored.live()).isEmpty();
  }

  @Test
  void a_restored_ledger_changes_in_the_same_way_as_the_original() {
    apply(batch(NOW, configuration(1, "checks"), List.of(), List.of(), List.of()));
    accept(job(2));
    end(task(0), 1, true);
    end(task(1), 1, false);
    JobLedger restored = JobLedger.create(Duration.ofMinutes(2));

    restored.restore(ledger.snapshot());
    LedgerBatch last =
        batch(NOW, null, List.of(), List.of(new LedgerBatch.TaskEnd(task(1), 2, false)), List.of());
    restored.apply(last);
    ledger.apply(last);

    assertThat(restored.snapshot()).isEqualTo(ledger.snapshot());
    assertThat(restored.finalPhase(ID)).isEqualTo(JobPhase.FAILED);
  }

  @Test
  void a_failure_domain_is_out_of_service_until_it_is_returned() {
    FailureDomain a = new FailureDomain("a");
    apply(domains(new LedgerBatch.DomainSwitch(a, true)));
    boolean outBefore = ledger.isOutOfService(a);

    apply(domains(new LedgerBatch.DomainSwitch(a, false)));

    assertThat(outBefore).isTrue();
    assertThat(ledger.isOutOfService(a)).isFalse();
  }

  private void accept(QueuedJob job) {
    LedgerBatch.Acceptance a = new LedgerBatch.Acceptance(job, "checks", MAX_ATTEMPTS);
    apply(batch(NOW, null, List.of(a), List.of(), List.of()));
  }

  private void cancel() {
    apply(batch(NOW, null, List.of(), List.of(), List.of(ID)));
  }

  private void end(QueuedTaskId task, long run, boolean succeeded) {
    LedgerBatch.TaskEnd e = new LedgerBatch.TaskEnd(task, run, succeeded);
    apply(batch(NOW, null, List.of(), List.of(e), List.of()));
  }

  private void apply(LedgerBatch batch) {
    ledger.apply(batch);
  }

  private static LedgerBatch batch(
      Instant at,
      @Nullable QueueConfiguration configuration,
      List<LedgerBatch.Acceptance> acceptedJobs,
      List<LedgerBatch.TaskEnd> taskEnds,
      List<QueuedJobId> cancelledJobs) {
    return new LedgerBatch(
        at,
        false,
        configuration,
        List.of(),
        List.<NodeId>of(),
        List.of(),
        acceptedJobs,
        taskEnds,
        cancelledJobs);
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
            MAX_ATTEMPTS,
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
