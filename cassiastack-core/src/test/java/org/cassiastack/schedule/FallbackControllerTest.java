package org.cassiastack.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.cassiastack.controller.ClockLeaped;
import org.cassiastack.controller.Tick;
import org.cassiastack.decision.Decision;
import org.cassiastack.fallback.FallbackDirectory;
import org.cassiastack.fallback.FallbackNode;
import org.cassiastack.fallback.FallbackState;
import org.cassiastack.protocol.PeerDisconnected;
import org.cassiastack.protocol.Received;
import org.cassiastack.queue.JobPhase;
import org.cassiastack.queue.QueuedTaskId;
import org.cassiastack.request.AnswerCode;
import org.cassiastack.request.AskJob;
import org.cassiastack.request.CancelJob;
import org.cassiastack.request.LeaderNotice;
import org.cassiastack.request.LeaderReply;
import org.cassiastack.runs.AgentLease;
import org.cassiastack.runs.EndedRun;
import org.cassiastack.runs.Fences;
import org.cassiastack.runs.RunId;
import org.cassiastack.runs.RunOrders;
import org.cassiastack.runs.RunOutcome;
import org.junit.jupiter.api.Test;

/** Tests when a fallback dispatcher engages and steps down, and what it takes and orders. */
class FallbackControllerTest extends FallbackScenario {
  @Test
  void engages_when_it_has_heard_no_leader_for_450_ms() {
    hearLeader();
    wait(Duration.ofMillis(440));
    boolean early = fallback.isEngaged();

    wait(Duration.ofMillis(60));

    assertThat(early).isFalse();
    assertThat(fallback.isEngaged()).isTrue();
    assertThat(decisions).extracting(Decision::event).containsExactly("fallback_engaged");
  }

  @Test
  void does_not_engage_while_any_message_of_the_leader_arrives() {
    hearLeader();
    for (int i = 0; i < 5; i++) {
      wait(Duration.ofMillis(300));
      on(new Received(LEADER, new LeaderReply(1, answer(AnswerCode.ACCEPTED), 5)));
    }

    assertThat(decisions).isEmpty();
  }

  @Test
  void does_not_take_the_notice_of_another_member_for_a_leader_that_is_heard() {
    hearLeader();
    for (int i = 0; i < 3; i++) {
      wait(Duration.ofMillis(200));
      on(new Received(MEMBER, new LeaderNotice(5, LEADER, List.of(LEADER, MEMBER))));
    }

    assertThat(fallback.isEngaged()).isTrue();
  }

  @Test
  void does_not_engage_when_the_directory_does_not_name_it() {
    hear(new FallbackState(5, 3, LeaderScenario.configuration(), List.of()));
    hear(new FallbackDirectory(5, 1, List.of(new FallbackNode(PEER, DOMAIN))));

    wait(Duration.ofSeconds(2));

    assertThat(fallback.isEngaged()).isFalse();
  }

  @Test
  void does_not_engage_with_a_state_older_than_the_directory() {
    hearLeader();
    hear(new FallbackDirectory(5, 2, List.of(new FallbackNode(SELF, DOMAIN))));

    wait(Duration.ofSeconds(2));

    assertThat(fallback.isEngaged()).isFalse();
  }

  /** Guards against an engagement by the time that passed while the process was paused. */
  @Test
  void does_not_engage_right_after_a_pause() {
    hearLeader();
    wait(Duration.ofMillis(100));
    now = now.plusSeconds(6);
    on(new Tick());
    boolean afterPause = fallback.isEngaged();
    on(new Received(LEADER, new LeaderNotice(5, LEADER, List.of(LEADER))));
    wait(Duration.ofMillis(100));

    assertThat(afterPause).isFalse();
    assertThat(fallback.isEngaged()).isFalse();
  }

  @Test
  void runs_a_job_to_its_end_with_run_numbers_of_its_own() {
    engage();
    report(Fences.ofLeader(5));
    report(FENCE);
    submit(false, 1);
    RunId run = started().get(0);
    endRun(run);

    assertThat(run.number()).isBetween(2_501L, 3_000L);
    assertThat(answers()).containsExactly(AnswerCode.ACCEPTED);
    assertThat(replies().get(0).answer().phase()).isEqualTo(JobPhase.COMPLETED);
    assertThat(sent(AgentLease.class)).allMatch(l -> l.fence() == FENCE);
    assertThat(sent(RunOrders.class)).allMatch(o -> o.fence() == FENCE);
  }

  @Test
  void uses_other_run_numbers_in_its_next_engagement() {
    engage();
    report(FENCE);
    submit(false, 1);
    RunId first = started().get(0);
    hearLeader();
    engage();
    sends.clear();
    running.clear();
    processedOrders = 0;
    report(FENCE);
    submit(false, 1);

    assertThat(started().get(0).number()).isGreaterThan(first.number());
  }

  @Test
  void ignores_reports_of_agents_that_have_obeyed_a_higher_fence_or_none() {
    engage();

    report(Fences.ofLeader(6));
    report(0);

    assertThat(sends).isEmpty();
  }

  @Test
  void gives_its_jobs_to_the_leader_when_it_hears_one_and_orders_nothing_more() {
    engage();
    report(FENCE);
    submit(false, 1);
    sends.clear();

    on(new Received(MEMBER, new LeaderNotice(6, MEMBER, List.of(LEADER, MEMBER))));
    report(FENCE);
    submit(false, 1);

    assertThat(fallback.isEngaged()).isFalse();
    assertThat(answers()).containsExactly(AnswerCode.HANDED_OVER, AnswerCode.NOT_LEADER);
    assertThat(sent(AgentLease.class)).isEmpty();
    assertThat(sent(RunOrders.class)).isEmpty();
    assertThat(decisions).extracting(Decision::event).contains("fallback_stepped_down");
  }

  /** Guards against a leader notice that waits behind a report in the queue of a paused process. */
  @Test
  void grants_no_lease_and_sends_no_order_after_a_pause() {
    engage();
    report(FENCE);
    submit(false, 1);
    sends.clear();

    now = now.plusSeconds(6);
    report(FENCE);

    assertThat(answers()).containsExactly(AnswerCode.HANDED_OVER);
    assertThat(sent(AgentLease.class)).isEmpty();
    assertThat(sent(RunOrders.class)).isEmpty();
  }

  @Test
  void steps_down_when_its_clock_has_leaped() {
    engage();

    on(new ClockLeaped(Duration.ofSeconds(1)));

    assertThat(fallback.isEngaged()).isFalse();
  }

  @Test
  void stops_the_jobs_of_an_entry_to_which_the_connection_is_lost() {
    engage();
    report(FENCE);
    submit(false, 1);
    RunId run = started().get(0);

    on(new PeerDisconnected(ENTRY));
    wait(Duration.ofMillis(40));

    assertThat(sent(RunOrders.class)).anyMatch(o -> o.stops().contains(run));
  }

  /** Guards against runs that are stopped without a line that tells why. */
  @Test
  void reports_its_fence_and_each_job_that_it_stops_with_the_connection_of_an_entry() {
    engage();
    report(FENCE);
    submit(false, 1);

    on(new PeerDisconnected(ENTRY));

    assertThat(jobDecisions)
        .anyMatch(
            d ->
                d.event().equals("job_admitted")
                    && d.inputs().endsWith("dispatcher=fallback fence=" + FENCE))
        .anyMatch(
            d ->
                d.event().equals("job_given_up")
                    && d.subject().equals(ID.toString())
                    && d.outcome().equals("entry_disconnected")
                    && d.inputs().startsWith("entry=" + ENTRY + " confirmed=")
                    && d.inputs().endsWith("started=true"));
  }

  /**
   * Guards against a run beside that of a leader, to which a lost caller has sent the job again.
   */
  @Test
  void stops_the_jobs_of_an_entry_that_does_not_confirm_them() {
    engage();
    report(FENCE);
    submit(false, 1);
    RunId run = started().get(0);
    reportFor(900);
    boolean stoppedEarly = sent(RunOrders.class).stream().anyMatch(o -> !o.stops().isEmpty());

    callerWaits = false;
    reportFor(900);

    assertThat(stoppedEarly).isFalse();
    assertThat(sent(RunOrders.class)).anyMatch(o -> o.stops().contains(run));
  }

  private void reportFor(int millis) {
    for (int i = 0; i < millis / 100; i++) {
      wait(Duration.ofMillis(100));
      report(FENCE);
    }
  }

  @Test
  void extends_no_lease_of_an_agent_with_runs_of_another_dispatcher() {
    engage();
    running.put(new RunId(new QueuedTaskId(ID, 0, 0, 0), 4_511), true);

    report(FENCE - 1);
    report(FENCE);

    assertThat(sent(AgentLease.class))
        .hasSize(2)
        .extracting(AgentLease::duration)
        .containsOnly(Duration.ZERO);
  }

  @Test
  void refuses_nothing_of_a_job_that_it_has_stopped_and_runs_it_again() {
    engage();
    report(FENCE);
    submit(false, 1);
    RunId run = started().get(0);
    on(new PeerDisconnected(ENTRY));
    wait(Duration.ofMillis(40));

    submit(false, 1);
    long startsBefore = started().size();
    running.clear();
    report(FENCE, List.of(new EndedRun(1, run, RunOutcome.STOPPED)));
    wait(Duration.ofMillis(40));

    assertThat(startsBefore).isEqualTo(1);
    assertThat(started()).hasSize(2);
  }

  @Test
  void takes_no_job_of_an_entry_that_knows_a_newer_configuration() {
    engage();

    submit(false, 2);

    assertThat(answers()).containsExactly(AnswerCode.NOT_LEADER);
    assertThat(decisions).extracting(Decision::event).contains("fallback_job_refused");
  }

  /**
   * Guards against jobs that wait at a dispatcher whose agents have gone to the next one during its
   * pause, and stay there.
   */
  @Test
  void takes_no_job_after_a_pause_until_an_agent_has_come() {
    engage();
    report(FENCE);
    now = now.plusSeconds(1);
    on(new Tick());
    wait(Duration.ofMillis(600));
    boolean engagedAgain = fallback.isEngaged();
    sends.clear();
    submit(false, 1);

    assertThat(engagedAgain).isTrue();
    assertThat(answers()).containsExactly(AnswerCode.NOT_LEADER);
  }

  /** Guards against jobs that wait at a dispatcher that the agents cannot reach. */
  @Test
  void takes_no_job_when_no_agent_has_come_within_300_ms() {
    engage();
    wait(Duration.ofMillis(320));
    submit(false, 1);

    assertThat(answers()).containsExactly(AnswerCode.NOT_LEADER);
  }

  /**
   * Guards against jobs that wait until their callers give up where only entries have lost the
   * leader, but the agents have not.
   */
  @Test
  void gives_jobs_back_when_no_agent_has_come_within_300_ms() {
    engage();
    submit(false, 1);
    List<AnswerCode> early = answers();
    wait(Duration.ofMillis(340));

    assertThat(early).isEmpty();
    assertThat(answers()).containsExactly(AnswerCode.NOT_LEADER);
  }

  @Test
  void takes_neither_durable_jobs_nor_queries() {
    engage();

    submit(true, 1);
    request(new AskJob(++lastRequestId, ADDRESS));

    assertThat(answers()).containsExactly(AnswerCode.NO_LEADER, AnswerCode.NO_LEADER);
  }

  @Test
  void cancels_a_job_that_it_dispatches() {
    engage();
    report(FENCE);
    submit(false, 1);

    request(new CancelJob(++lastRequestId, ADDRESS));

    assertThat(answers()).containsExactly(AnswerCode.ACCEPTED, AnswerCode.ACCEPTED);
    assertThat(replies().get(0).answer().phase()).isEqualTo(JobPhase.CANCELLED);
  }

  @Test
  void starts_nothing_in_a_failure_domain_that_an_older_state_brings_back() {
    hearLeader();
    hear(new FallbackState(5, 3, LeaderScenario.configuration(), List.of(DOMAIN)));
    hear(new FallbackState(4, 2, LeaderScenario.configuration(), List.of()));
    wait(Duration.ofMillis(520));
    report(FENCE);

    submit(false, 1);

    assertThat(fallback.isEngaged()).isTrue();
    assertThat(started()).isEmpty();
  }

  @Test
  void keeps_a_configuration_that_a_later_state_would_undo() {
    hear(
        new FallbackState(
            5, 3, LeaderScenario.configuration(2, LeaderScenario.queue("q", 2)), List.of()));
    hear(new FallbackDirectory(5, 2, List.of(new FallbackNode(SELF, DOMAIN))));
    hear(new FallbackState(6, 4, LeaderScenario.configuration(), List.of()));
    wait(Duration.ofMillis(520));

    submit(false, 2);

    assertThat(answers()).isEmpty();
  }
}
