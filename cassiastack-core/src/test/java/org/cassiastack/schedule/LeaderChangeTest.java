package org.cassiastack.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.cassiastack.consensus.LeaderChanged;
import org.cassiastack.consensus.LeaseExtended;
import org.cassiastack.controller.ClockLeaped;
import org.cassiastack.controller.Tick;
import org.cassiastack.model.NodeId;
import org.cassiastack.queue.JobPhase;
import org.cassiastack.queue.QueuedJob;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.queue.QueuedTaskId;
import org.cassiastack.request.AnswerCode;
import org.cassiastack.request.AskJob;
import org.cassiastack.request.RequestAnswer;
import org.cassiastack.request.SubmitJob;
import org.cassiastack.runs.ActiveRun;
import org.cassiastack.runs.AgentLease;
import org.cassiastack.runs.EndedRun;
import org.cassiastack.runs.RunId;
import org.cassiastack.runs.RunOutcome;
import org.junit.jupiter.api.Test;

/** Tests what a new leader does before and after all agents have reported. */
class LeaderChangeTest extends LeaderScenario {
  @Test
  void starts_no_task_again_because_the_clock_of_the_leader_has_leaped() {
    submit(1, true);
    int startsBefore = started().size();
    Duration leap = Duration.ofSeconds(3);
    now = now.plus(leap);
    on(new ClockLeaped(leap));
    on(new LeaseExtended(fence, now.plusSeconds(10)));
    on(new Tick());
    NodeId idle = lastStartAgent.equals(FIRST) ? SECOND : FIRST;
    for (int i = 0; i < 3; i++) {
      report(idle, List.of(), List.of());
      on(new Tick());
    }

    assertThat(startsBefore).isEqualTo(1);
    assertThat(started()).hasSize(1);
  }

  @Test
  void a_new_leader_does_not_refuse_jobs_as_overloaded_before_the_agents_have_reported() {
    lead(6);

    for (int i = 1; i <= 40; i++) {
      QueuedJob job = new QueuedJob(new QueuedJobId(i), "spec", List.of(step(16, 1_000)), false);
      request(SubmitJob.of(++lastRequestId, ADDRESS, job, Duration.ofSeconds(9)));
    }

    assertThat(answers).extracting(RequestAnswer::code).doesNotContain(AnswerCode.OVERLOADED);
  }

  @Test
  void a_new_leader_refuses_a_copy_of_a_durable_job_that_its_predecessor_refused() {
    QueuedJob refused = new QueuedJob(ID, "spec", List.of(step(1, 9_000)), true);
    request(SubmitJob.of(++lastRequestId, ADDRESS, refused, Duration.ofSeconds(1)));
    lead(6);
    report(FIRST, List.of(), List.of());
    report(SECOND, List.of(), List.of());
    answers.clear();

    submit(1, true);

    assertThat(answers).extracting(RequestAnswer::code).containsExactly(AnswerCode.OVERLOADED);
    assertThat(started()).isEmpty();
  }

  @Test
  void a_new_leader_starts_no_task_until_every_agent_has_reported() {
    lead(6);
    submit(2, true);
    report(FIRST, List.of(), List.of());
    boolean startedEarly = !started().isEmpty();

    report(SECOND, List.of(), List.of());

    assertThat(startedEarly).isFalse();
    assertThat(started()).hasSize(2);
  }

  @Test
  void a_new_leader_does_not_wait_for_an_agent_whose_lease_had_expired_before() {
    now = now.plus(SETTINGS.leaseExpiryTimeout());
    report(FIRST, List.of(), List.of());
    on(new Tick());
    lead(6);
    submit(2, true);

    report(FIRST, List.of(), List.of());

    assertThat(started()).hasSize(2);
  }

  @Test
  void a_new_leader_does_not_wait_for_an_agent_whose_minion_had_left() {
    report(SECOND, List.of(), List.of(), true);
    lead(6);
    submit(2, true);

    report(FIRST, List.of(), List.of());

    assertThat(started()).hasSize(2);
  }

  @Test
  void a_new_leader_waits_for_an_agent_whose_draining_minion_still_ran_a_task() {
    submit(2, true);
    RunId run = starts.get(SECOND).get(0).run();
    starts.clear();
    report(SECOND, List.of(new ActiveRun(run, 10)), List.of(), true);
    lead(6);

    report(FIRST, List.of(), List.of());

    assertThat(started()).isEmpty();
  }

  @Test
  void grants_no_lease_to_an_agent_whose_removal_from_the_ledger_is_pending() {
    now = now.plus(SETTINGS.leaseExpiryTimeout());
    report(FIRST, List.of(), List.of());
    holdCommits = true;
    on(new Tick());
    leases.clear();

    report(SECOND, List.of(), List.of());

    assertThat(leases).isEmpty();
  }

  @Test
  void a_new_leader_takes_over_the_runs_that_agents_report() {
    submit(1, true);
    RunId run = started().get(0);
    NodeId agent = starts.containsKey(FIRST) ? FIRST : SECOND;
    starts.clear();
    lead(6);

    report(agent, List.of(new ActiveRun(run, 50)), List.of());
    report(agent.equals(FIRST) ? SECOND : FIRST, List.of(), List.of());
    request(new AskJob(++lastRequestId, ADDRESS));

    assertThat(started()).isEmpty();
    assertThat(answers.get(answers.size() - 1).phase()).isEqualTo(JobPhase.RUNNING);
  }

  @Test
  void answers_no_request_after_its_leadership_lease_has_expired() {
    now = now.plusSeconds(30);

    request(new AskJob(++lastRequestId, ADDRESS));

    assertThat(answers).containsExactly(RequestAnswer.of(AnswerCode.NOT_LEADER));
  }

  @Test
  void answers_requests_under_a_leadership_lease_that_arrived_before_the_election_event() {
    on(new LeaderChanged(5, null, false));
    on(new LeaseExtended(6, now.plusSeconds(10)));
    on(new LeaderChanged(6, SELF, true));

    request(new AskJob(++lastRequestId, ADDRESS));

    assertThat(answers).containsExactly(RequestAnswer.of(AnswerCode.NO_SUCH_JOB));
  }

  @Test
  void starts_no_task_while_a_run_of_an_earlier_leader_is_being_stopped() {
    RunId earlier = new RunId(new QueuedTaskId(ID, 0, 0, 0), 1);
    lead(6);
    report(FIRST, List.of(new ActiveRun(earlier, 10)), List.of());
    report(SECOND, List.of(), List.of());
    on(new Tick());
    submit(1, false);
    report(SECOND, List.of(), List.of());
    boolean startedEarly = !started().isEmpty();

    report(FIRST, List.of(), List.of(new EndedRun(1, earlier, RunOutcome.STOPPED)));

    assertThat(stops).containsOnly(earlier);
    assertThat(startedEarly).isFalse();
    assertThat(started()).hasSize(1);
  }

  @Test
  void keeps_a_run_of_an_earlier_leader_when_its_job_is_submitted_again_before_the_stop() {
    RunId earlier = new RunId(new QueuedTaskId(ID, 0, 0, 0), 1);
    lead(6);
    report(FIRST, List.of(new ActiveRun(earlier, 10)), List.of());
    submit(1, false);
    report(SECOND, List.of(), List.of());
    on(new Tick());
    answers.clear();

    report(FIRST, List.of(), List.of(new EndedRun(1, earlier, RunOutcome.DONE)));

    assertThat(started()).isEmpty();
    assertThat(stops).isEmpty();
    assertThat(answers)
        .containsExactly(RequestAnswer.phase(AnswerCode.ACCEPTED, JobPhase.COMPLETED));
  }

  /** Guards against tasks that run again because their ends are on a later page. */
  @Test
  void a_new_leader_starts_no_task_while_an_agent_has_ends_that_are_not_listed() {
    submit(2, true);
    List<RunId> runs = started();
    NodeId agent = starts.containsKey(FIRST) ? FIRST : SECOND;
    starts.clear();
    lead(6);
    NodeId other = agent.equals(FIRST) ? SECOND : FIRST;
    now = now.plus(SETTINGS.leaseExpiryTimeout());
    on(new LeaseExtended(fence, now.plusSeconds(10)));
    reportFirstEnds(agent, List.of(new EndedRun(1, runs.get(0), RunOutcome.DONE)));
    report(other, List.of(), List.of());
    on(new Tick());
    boolean startedEarly = !started().isEmpty();

    report(agent, List.of(), List.of(new EndedRun(2, runs.get(1), RunOutcome.DONE)));
    request(new AskJob(++lastRequestId, ADDRESS));

    assertThat(startedEarly).isFalse();
    assertThat(started()).isEmpty();
    assertThat(answers.get(answers.size() - 1).phase()).isEqualTo(JobPhase.COMPLETED);
  }

  /** Guards against tasks that run again because their ends are on a later page. */
  @Test
  void takes_no_run_for_lost_while_the_minion_has_ends_that_are_not_listed() {
    submit(2, true);
    List<RunId> runs = started();
    NodeId agent = lastStartAgent;
    List<RunId> ofAgent =
        runs.stream()
            .filter(r -> starts.get(agent).stream().anyMatch(s -> s.run().equals(r)))
            .toList();
    starts.clear();

    reportFirstEnds(agent, List.of());
    on(new Tick());

    assertThat(ofAgent).isNotEmpty();
    assertThat(started()).isEmpty();
  }

  /** Guards against a restarted agent that extends runs which the leader counts as expired. */
  @Test
  void grants_no_lease_to_a_restarted_agent_whose_minion_has_not_announced_itself() {
    leases.clear();

    reportAfterRestart(FIRST, null, fence);

    assertThat(leases).extracting(AgentLease::duration).containsExactly(Duration.ZERO);
  }
}
