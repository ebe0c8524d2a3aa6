package org.cassiastack.schedule;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.cassiastack.controller.Tick;
import org.cassiastack.decision.Decision;
import org.cassiastack.protocol.Received;
import org.cassiastack.queue.QueuedJob;
import org.cassiastack.request.AwaitedSubmit;
import org.cassiastack.request.CancelJob;
import org.cassiastack.request.SubmitJob;
import org.cassiastack.runs.ActiveRun;
import org.cassiastack.runs.RunId;
import org.junit.jupiter.api.Test;

/** Tests what a leader logs of jobs that need not be stored and of their callers. */
class CallerLogTest extends LostCallerScenario {
  /** Guards against a job with two waiting entries of which the log names one. */
  @Test
  void reports_that_another_entry_waits_for_a_job_in_the_place_of_the_former_one() {
    submitAndStart();
    Instant probed = now;
    now = now.plusMillis(200);
    SubmitJob copy = SubmitJob.of(++lastRequestId, ADDRESS, job(), LONG);

    on(new Received(OTHER_ENTRY, new AwaitedSubmit(copy, now)));
    on(new Received(OTHER_ENTRY, new AwaitedSubmit(copy, now)));

    assertThat(decisions.stream().filter(d -> d.event().equals("caller_replaced")))
        .hasSize(1)
        .allMatch(d -> d.subject().equals(ID.toString()))
        .extracting(Decision::inputs)
        .containsExactly("entry=" + OTHER_ENTRY + " former=" + ENTRY + " confirmed=" + probed);
  }

  @Test
  void reports_the_age_of_the_last_confirmation_and_the_number_of_the_orders_with_each_run() {
    submit(ID, now.minusMillis(120));

    assertThat(decisions.stream().filter(d -> d.event().equals("run_ordered")))
        .extracting(Decision::inputs)
        .singleElement()
        .asString()
        .endsWith(" orders=1 confirmed_ago=PT0.12S");
  }

  @Test
  void reports_a_job_that_is_given_up_at_the_deadline_of_its_caller() {
    QueuedJob job = new QueuedJob(ID, "spec", List.of(step(1, 1_000)), false);
    SubmitJob s = SubmitJob.of(++lastRequestId, ADDRESS, job, Duration.ofMillis(400));
    on(new Received(ENTRY, new AwaitedSubmit(s, now)));
    Instant probed = now;
    now = now.plusMillis(401);

    on(new Tick());

    assertThat(decisions.stream().filter(d -> d.event().equals("job_given_up")))
        .extracting(Decision::outcome, Decision::inputs)
        .containsExactly(
            tuple("caller_timeout", "entry=" + ENTRY + " confirmed=" + probed + " started=true"));
  }

  @Test
  void reports_the_cancellation_of_a_job_that_is_not_stored() {
    submitAndStart();

    request(new CancelJob(++lastRequestId, ADDRESS));

    assertThat(decisions)
        .anyMatch(
            d ->
                d.event().equals("job_ended")
                    && d.subject().equals(ID.toString())
                    && d.outcome().equals("cancelled"));
  }

  /** Guards against runs that count as lost or found by a report that nobody can name. */
  @Test
  void reports_which_report_shows_a_run_or_the_end_of_a_lease() {
    RunId run = submitAndStart();
    report(lastStartAgent, List.of(new ActiveRun(run, 10)), List.of());
    Instant sent = now;
    now = now.plus(SETTINGS.leaseExpiryTimeout()).plusMillis(1);
    confirm(ID);
    on(new Tick());
    String gone = inputsOf("run_gone");

    report(lastStartAgent, List.of(new ActiveRun(run, 10)), List.of());

    Duration silence = SETTINGS.leaseExpiryTimeout().plusMillis(1);
    assertThat(gone)
        .endsWith(" report_sent=" + sent + " report_fence=" + fence + " report_ago=" + silence);
    assertThat(inputsOf("run_found"))
        .endsWith(" report_sent=" + now + " report_fence=" + fence + " report_ago=PT0S");
  }

  private String inputsOf(String event) {
    return decisions.stream().filter(d -> d.event().equals(event)).findFirst().get().inputs();
  }
}
