package org.cassiastack.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.cassiastack.consensus.LeaseExtended;
import org.cassiastack.controller.Tick;
import org.cassiastack.decision.Decision;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.cassiastack.queue.JobPhase;
import org.cassiastack.request.AnswerCode;
import org.cassiastack.request.AwaitedSubmit;
import org.cassiastack.request.RequestAnswer;
import org.cassiastack.request.ResubmitJob;
import org.cassiastack.request.SubmitJob;
import org.cassiastack.runs.ActiveRun;
import org.cassiastack.runs.EndedRun;
import org.cassiastack.runs.RunOrders;
import org.cassiastack.runs.RunOutcome;
import org.junit.jupiter.api.Test;

/** Tests a leader that gets jobs which other dispatchers had before. */
class ResubmittedJobTest extends FallbackLeaderScenario {
  @Test
  void starts_a_resubmitted_job_once_every_agent_has_reported_since_it_arrived() {
    resubmit(1);
    boolean startedAtOnce = !started().isEmpty();
    report(FIRST, List.of(), List.of());
    boolean startedEarly = !started().isEmpty();

    report(SECOND, List.of(), List.of());

    assertThat(startedAtOnce).isFalse();
    assertThat(startedEarly).isFalse();
    assertThat(started()).hasSize(1);
  }

  /** Guards against lists that a cut held back, and that lack a run of a fallback dispatcher. */
  @Test
  void a_report_from_before_the_arrival_of_a_resubmitted_job_does_not_start_it() {
    resubmit(1);
    report(FIRST, List.of(), List.of());
    lastOrdersNumbers.remove(SECOND);

    report(SECOND, List.of(), List.of());

    assertThat(started()).isEmpty();
    assertThat(decisions).extracting(Decision::event).doesNotContain("job_released");
  }

  /** Guards against a first copy, held back by a cut, that takes the hold off the second one. */
  @Test
  void holds_a_resubmitted_job_of_which_a_late_first_copy_is_live() {
    SubmitJob first = SubmitJob.of(++lastRequestId, ADDRESS, job(), LIMIT);
    on(new Received(ENTRY, new AwaitedSubmit(first, now.minusMillis(700))));
    resubmit(1);
    report(FIRST, List.of(), List.of());
    boolean startedEarly = !started().isEmpty();

    report(SECOND, List.of(), List.of());

    assertThat(startedEarly).isFalse();
    assertThat(jobs(started())).containsExactly(ID);
  }

  @Test
  void a_repeated_resubmission_does_not_hold_the_job_longer() {
    resubmit(1);
    report(FIRST, List.of(), List.of());
    SubmitJob same = SubmitJob.of(lastRequestId, ADDRESS, job(), Duration.ofSeconds(3));
    request(new ResubmitJob(same, now));

    report(SECOND, List.of(), List.of());

    assertThat(started()).hasSize(1);
  }

  @Test
  void logs_which_lists_released_a_resubmitted_job() {
    resubmit(1);
    report(FIRST, List.of(), List.of());

    report(SECOND, List.of(), List.of());

    assertThat(decisions)
        .filteredOn(d -> d.event().equals("job_released"))
        .singleElement()
        .satisfies(d -> assertThat(d.outcome()).isEqualTo("runs_listed"))
        .satisfies(d -> assertThat(d.inputs()).contains("held=PT0.002S", "oldest=" + FIRST));
  }

  /** Guards against a job that waits for the next regular reports. */
  @Test
  void asks_each_agent_once_for_its_lists_when_a_resubmitted_job_arrives() {
    sends.clear();
    resubmit(1);
    on(new Tick());

    assertThat(sends)
        .filteredOn(s -> s.message() instanceof RunOrders)
        .extracting(Send::to)
        .containsExactlyInAnyOrder(FIRST, SECOND);
  }

  @Test
  void asks_an_agent_for_its_lists_that_obeys_the_leader_only_after_the_job_arrived() {
    lead(6);
    report(FIRST, List.of(), List.of());
    resubmit(1);
    report(SECOND, List.of(), List.of());
    report(FIRST, List.of(), List.of());
    boolean startedEarly = !started().isEmpty();

    report(SECOND, List.of(), List.of());

    assertThat(startedEarly).isFalse();
    assertThat(started()).hasSize(1);
  }

  @Test
  void starts_a_resubmitted_job_when_the_lease_of_a_silent_agent_has_expired_since_it_arrived() {
    on(new LeaseExtended(5, now.plusSeconds(100)));
    now = now.plusSeconds(5);
    report(FIRST, List.of(), List.of());
    resubmit(1);
    now = now.plusMillis(600);
    confirm(ID);
    on(new Tick());
    boolean startedEarly = !started().isEmpty();
    now = now.plus(SETTINGS.leaseExpiryTimeout()).minusMillis(600);
    confirm(ID);
    on(new Tick());
    report(FIRST, List.of(), List.of());
    on(new Tick());

    assertThat(startedEarly).isFalse();
    assertThat(jobs(started())).containsExactly(ID);
  }

  /** Guards against a second run of a task that a fallback dispatcher has started. */
  @Test
  void a_resubmitted_job_keeps_the_runs_that_agents_report() {
    lead(6);
    resubmit(1);
    report(FIRST, List.of(new ActiveRun(EARLIER, 10)), List.of());
    report(SECOND, List.of(), List.of());
    on(new Tick());
    answers.clear();

    report(FIRST, List.of(), List.of(new EndedRun(1, EARLIER, RunOutcome.DONE)));

    assertThat(started()).isEmpty();
    assertThat(stops).isEmpty();
    assertThat(answers)
        .containsExactly(RequestAnswer.phase(AnswerCode.ACCEPTED, JobPhase.COMPLETED));
  }

  @Test
  void a_resubmitted_job_claims_a_run_that_was_reported_before() {
    lead(6);
    report(FIRST, List.of(new ActiveRun(EARLIER, 10)), List.of());
    on(new Tick());
    resubmit(1);
    now = now.plusMillis(400);
    report(SECOND, List.of(), List.of());
    report(FIRST, List.of(new ActiveRun(EARLIER, 50)), List.of());
    on(new Tick());

    assertThat(started()).isEmpty();
    assertThat(stops).isEmpty();
  }
}
