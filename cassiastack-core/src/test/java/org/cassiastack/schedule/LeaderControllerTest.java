package org.cassiastack.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.cassiastack.consensus.LeaseExtended;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Tick;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.cassiastack.queue.JobPhase;
import org.cassiastack.queue.QueuedJob;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.request.AnswerCode;
import org.cassiastack.request.AskQueueConfiguration;
import org.cassiastack.request.DomainRevision;
import org.cassiastack.request.LeaderReply;
import org.cassiastack.request.RequestAnswer;
import org.cassiastack.request.SubmitJob;
import org.cassiastack.request.SwitchDomain;
import org.cassiastack.request.SwitchDomainSince;
import org.cassiastack.runs.AgentLease;
import org.cassiastack.runs.EndedRun;
import org.cassiastack.runs.RunId;
import org.cassiastack.runs.RunOutcome;
import org.junit.jupiter.api.Test;

class LeaderControllerTest extends LeaderScenario {
  private static final FailureDomain DOMAIN = new FailureDomain("a");

  @Test
  void answers_a_read_with_its_event_and_not_at_the_end_of_the_turn() {
    List<Effect> effects =
        leader.on(new Received(ENTRY, new AskQueueConfiguration(++lastRequestId)), now);

    assertThat(effects).anyMatch(e -> e instanceof Send s && s.message() instanceof LeaderReply);
  }

  @Test
  void accepts_and_starts_a_durable_job_once_it_is_committed() {
    submit(2, true);

    assertThat(answers).containsExactly(RequestAnswer.of(AnswerCode.ACCEPTED));
    assertThat(started()).hasSize(2);
  }

  @Test
  void retries_a_failed_task_on_another_minion() {
    submit(1, true);
    NodeId agent = starts.containsKey(FIRST) ? FIRST : SECOND;
    RunId run = started().get(0);
    starts.clear();

    report(agent, List.of(), List.of(new EndedRun(1, run, RunOutcome.FAILED)));

    assertThat(starts).containsOnlyKeys(agent.equals(FIRST) ? SECOND : FIRST);
  }

  @Test
  void acknowledges_no_further_end_of_a_failed_job_until_the_failure_is_committed() {
    submit(1, true);
    RunId first = started().get(0);
    NodeId agent = lastStartAgent;
    NodeId other = agent.equals(FIRST) ? SECOND : FIRST;
    report(agent, List.of(), List.of(new EndedRun(1, first, RunOutcome.FAILED)));
    RunId second = new RunId(first.task(), first.number() + 1);
    RunId third = new RunId(first.task(), first.number() + 2);
    holdCommits = true;
    report(other, List.of(), List.of(new EndedRun(1, second, RunOutcome.FAILED)));
    leases.clear();

    report(agent, List.of(), List.of(new EndedRun(2, third, RunOutcome.DONE)));

    assertThat(leases).extracting(AgentLease::acknowledgedThrough).containsExactly(1L);
  }

  @Test
  void answers_a_job_that_is_not_durable_when_it_has_ended() {
    submit(1, false);
    List<RequestAnswer> answersBeforeEnd = List.copyOf(answers);
    NodeId agent = starts.containsKey(FIRST) ? FIRST : SECOND;

    report(agent, List.of(), List.of(new EndedRun(1, started().get(0), RunOutcome.DONE)));

    assertThat(answersBeforeEnd).isEmpty();
    assertThat(answers)
        .containsExactly(RequestAnswer.phase(AnswerCode.ACCEPTED, JobPhase.COMPLETED));
  }

  @Test
  void starts_no_task_in_a_failure_domain_that_is_out_of_service() {
    request(new SwitchDomain(++lastRequestId, new FailureDomain("a"), true));

    submit(2, true);

    assertThat(started()).isEmpty();
  }

  @Test
  void refuses_an_order_if_another_order_for_the_domain_was_taken_since_its_revision() {
    DomainRevision read = revision();
    request(new SwitchDomainSince(++lastRequestId, DOMAIN, true, read));
    answers.clear();

    request(new SwitchDomainSince(++lastRequestId, DOMAIN, false, read));
    submit(2, true);

    assertThat(answers)
        .extracting(RequestAnswer::code)
        .containsExactly(AnswerCode.SUPERSEDED, AnswerCode.ACCEPTED);
    assertThat(started()).isEmpty();
  }

  @Test
  void refuses_an_order_with_a_revision_from_before_an_order_that_changed_nothing() {
    DomainRevision read = revision();
    request(new SwitchDomainSince(++lastRequestId, DOMAIN, false, read));
    answers.clear();

    request(new SwitchDomainSince(++lastRequestId, DOMAIN, true, read));

    assertThat(answers).containsExactly(RequestAnswer.of(AnswerCode.SUPERSEDED));
  }

  @Test
  void takes_an_order_although_an_order_for_another_domain_was_taken_since_its_revision() {
    DomainRevision read = revision();
    request(new SwitchDomainSince(++lastRequestId, new FailureDomain("b"), true, read));
    answers.clear();

    request(new SwitchDomainSince(++lastRequestId, DOMAIN, true, read));

    assertThat(answers).containsExactly(RequestAnswer.of(AnswerCode.ACCEPTED));
  }

  @Test
  void acknowledges_an_order_again_that_arrives_twice() {
    SwitchDomainSince order = new SwitchDomainSince(++lastRequestId, DOMAIN, true, revision());
    answers.clear();

    request(order);
    request(order);

    assertThat(answers).containsOnly(RequestAnswer.of(AnswerCode.ACCEPTED)).hasSize(2);
  }

  @Test
  void refuses_an_order_with_the_revision_of_an_earlier_leader() {
    DomainRevision read = revision();
    lead(6);
    answers.clear();

    request(new SwitchDomainSince(++lastRequestId, DOMAIN, true, read));

    assertThat(answers).containsExactly(RequestAnswer.of(AnswerCode.SUPERSEDED));
  }

  private DomainRevision revision() {
    request(new AskQueueConfiguration(++lastRequestId));
    int number = answers.get(answers.size() - 1).count();
    answers.clear();
    return new DomainRevision(fence, number);
  }

  @Test
  void refuses_a_job_with_a_task_that_exceeds_the_capacity_of_every_minion() {
    request(
        SubmitJob.of(
            ++lastRequestId, ADDRESS, job(List.of(step(1, 9_000)), true), Duration.ofSeconds(1)));

    assertThat(answers).containsExactly(RequestAnswer.of(AnswerCode.UNSUPPORTED));
  }

  @Test
  void refuses_at_once_a_job_that_would_start_too_late_to_be_useful() {
    for (int i = 1; i <= 40; i++) {
      QueuedJob job = new QueuedJob(new QueuedJobId(i), "spec", List.of(step(16, 1_000)), false);
      request(SubmitJob.of(++lastRequestId, ADDRESS, job, Duration.ofSeconds(9)));
    }

    assertThat(answers).extracting(RequestAnswer::code).contains(AnswerCode.OVERLOADED);
    assertThat(answers)
        .filteredOn(a -> a.code() == AnswerCode.OVERLOADED)
        .allMatch(a -> a.retryAfter().compareTo(Duration.ofSeconds(1)) >= 0);
  }

  @Test
  void refuses_a_waiting_job_as_soon_as_it_would_end_too_late_to_be_useful() {
    request(
        SubmitJob.of(
            ++lastRequestId, ADDRESS, job(List.of(step(16, 1_000)), true), Duration.ofSeconds(9)));
    QueuedJob waiting = new QueuedJob(new QueuedJobId(7), "spec", List.of(step(2, 1_000)), false);
    request(SubmitJob.of(++lastRequestId, ADDRESS, waiting, Duration.ofSeconds(9)));
    answers.clear();

    now = now.plusMillis(500);
    on(new Tick());
    List<RequestAnswer> answersBeforeUseless = List.copyOf(answers);
    now = now.plusMillis(100);
    on(new Tick());

    assertThat(answersBeforeUseless).isEmpty();
    assertThat(answers).extracting(RequestAnswer::code).containsExactly(AnswerCode.OVERLOADED);
  }

  @Test
  void stops_a_stalled_run_and_starts_its_task_on_another_minion() {
    submit(1, true);
    RunId run = started().get(0);
    NodeId agent = starts.containsKey(FIRST) ? FIRST : SECOND;
    NodeId other = agent.equals(FIRST) ? SECOND : FIRST;
    reportFor(Duration.ofMillis(450), agent, run, 0, 0);
    List<RunId> stopped = List.copyOf(stops);
    starts.clear();

    report(agent, List.of(), List.of(new EndedRun(1, run, RunOutcome.STOPPED)));

    assertThat(stopped).containsOnly(run);
    assertThat(starts).containsOnlyKeys(other);
  }

  @Test
  void does_not_stop_a_slow_run_that_makes_progress() {
    submit(1, true);
    RunId run = started().get(0);
    NodeId agent = starts.containsKey(FIRST) ? FIRST : SECOND;

    reportFor(Duration.ofMillis(900), agent, run, 0, 40);

    assertThat(stops).isEmpty();
  }

  @Test
  void moves_a_task_that_stalls_on_every_minion_at_most_twice() {
    submit(1, true);
    for (int i = 1; i <= 5; i++) {
      RunId run = started().get(started().size() - 1);
      NodeId agent = lastStartAgent;
      reportFor(Duration.ofMillis(450), agent, run, 0, 0);
      if (stops.contains(run)) {
        report(agent, List.of(), List.of(new EndedRun(i, run, RunOutcome.STOPPED)));
      }
    }

    assertThat(stops.stream().distinct()).hasSize(2);
  }

  @Test
  void refuses_a_repeated_request_for_a_job_that_it_has_refused() {
    request(
        SubmitJob.of(
            ++lastRequestId, ADDRESS, job(List.of(step(1, 9_000)), false), Duration.ofSeconds(1)));
    answers.clear();

    request(
        SubmitJob.of(
            lastRequestId, ADDRESS, job(List.of(step(1, 1_000)), false), Duration.ofSeconds(1)));

    assertThat(answers).containsExactly(RequestAnswer.of(AnswerCode.UNSUPPORTED));
    assertThat(started()).isEmpty();
  }

  @Test
  void refuses_a_copy_of_a_refused_job_that_comes_many_seconds_later() {
    for (boolean durable : List.of(true, false)) {
      QueuedJobId id = new QueuedJobId(durable ? 1 : 2);
      submitCopy(id, 9_000, durable);
      now = now.plusSeconds(20);
      on(new LeaseExtended(fence, now.plusSeconds(10)));
      report(FIRST, List.of(), List.of());
      report(SECOND, List.of(), List.of());
      on(new Tick());
      answers.clear();

      submitCopy(id, 1_000, durable);

      assertThat(answers).extracting(RequestAnswer::code).doesNotContain(AnswerCode.ACCEPTED);
      assertThat(answers).hasSize(1);
    }
  }

  @Test
  void answers_the_refusal_of_a_durable_job_once_it_is_committed() {
    holdCommits = true;
    submitCopy(ID, 9_000, true);
    submitCopy(ID, 9_000, true);
    List<RequestAnswer> early = List.copyOf(answers);

    commitHeldProposals();

    assertThat(early).isEmpty();
    assertThat(answers).containsExactly(RequestAnswer.of(AnswerCode.UNSUPPORTED));
  }

  private void submitCopy(QueuedJobId id, long milliCpu, boolean durable) {
    QueuedJob job = new QueuedJob(id, "spec", List.of(step(1, milliCpu)), durable);
    request(SubmitJob.of(++lastRequestId, ADDRESS, job, Duration.ofSeconds(1)));
  }

  @Test
  void refuses_a_job_that_is_too_late_because_its_caller_had_to_wait_for_a_leader() {
    SubmitJob late =
        SubmitJob.of(
            ++lastRequestId, ADDRESS, job(List.of(step(1, 1_000)), false), Duration.ofSeconds(9));

    request(late.withAdditionalWait(Duration.ofMillis(700)));

    assertThat(answers).extracting(RequestAnswer::code).containsExactly(AnswerCode.OVERLOADED);
    assertThat(started()).isEmpty();
  }

  @Test
  void answers_a_repeated_request_for_an_abandoned_job_that_had_started_as_unanswered() {
    submit(2, false);
    now = now.plusMillis(1_100);
    on(new Tick());

    SubmitJob repeat =
        SubmitJob.of(
            lastRequestId, ADDRESS, job(List.of(step(2, 1_000)), false), Duration.ofSeconds(1));
    request(repeat.withAdditionalWait(Duration.ofMillis(900)));

    assertThat(answers).extracting(RequestAnswer::code).containsExactly(AnswerCode.UNANSWERED);
  }
}
