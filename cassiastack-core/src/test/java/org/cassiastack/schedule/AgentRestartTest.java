package org.cassiastack.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.cassiastack.consensus.LeaseExtended;
import org.cassiastack.controller.ClockLeaped;
import org.cassiastack.controller.Tick;
import org.cassiastack.decision.Decision;
import org.cassiastack.runs.ActiveRun;
import org.junit.jupiter.api.Test;

class AgentRestartTest extends LeaderScenario {
  /** Guards against a restarted agent that is taken for its former incarnation for ever. */
  @Test
  void an_agent_whose_clock_was_set_back_before_its_restart_gets_leases_again() {
    reportAfterRestart(FIRST, fence);

    reportForSeconds(60);
    leases.clear();
    reportForSeconds(5);

    assertThat(leases).isNotEmpty();
  }

  /** Guards against capacity that is missing for longer than the former lease may last. */
  @Test
  void an_agent_whose_clock_was_set_back_gets_its_first_lease_within_two_seconds() {
    reportAfterRestart(FIRST, fence);
    leases.clear();

    reportForSeconds(2);

    assertThat(leases).isNotEmpty();
    assertThat(decisions)
        .filteredOn(d -> d.event().equals("agent_replaced"))
        .extracting(Decision::outcome)
        .containsExactly("new_incarnation", "after_silence");
  }

  /**
   * Guards against an agent that stays without leases, or a log that hides how long it was silent.
   */
  @Test
  void an_agent_whose_clock_was_set_back_gets_leases_after_its_former_one_was_forgotten() {
    reportAfterRestart(FIRST, fence);
    leases.clear();

    for (int i = 0; i < 10; i++) {
      now = now.plusMillis(200);
      on(new LeaseExtended(5, now.plusSeconds(10)));
      on(new Tick());
    }
    reportForSeconds(1);

    assertThat(leases).isNotEmpty();
    assertThat(decisions).extracting(Decision::event).contains("agent_forgotten");
    assertThat(decisions)
        .filteredOn(d -> d.outcome().equals("after_silence"))
        .singleElement()
        .satisfies(d -> assertThat(d.inputs()).contains(" former=2 ").contains(" silent=PT2."));
  }

  /** Guards against an old report, read late, that takes the place of an agent with a lease. */
  @Test
  void a_lower_incarnation_does_not_count_while_the_lease_of_the_present_one_may_last() {
    reportAfterRestart(FIRST, fence);
    leases.clear();

    reportForSeconds(1);
    int tooEarly = leases.size();
    reportForSeconds(1);

    assertThat(tooEarly).isZero();
    assertThat(leases).isNotEmpty();
  }

  /** Guards against a leader that takes a lease for expired because its own clock was set. */
  @Test
  void a_leap_of_the_clock_of_the_leader_does_not_count_as_silence_of_an_agent() {
    reportAfterRestart(FIRST, fence);
    leases.clear();

    now = now.plusSeconds(5);
    on(new ClockLeaped(Duration.ofSeconds(5)));
    reportForSeconds(1);
    int tooEarly = leases.size();
    reportForSeconds(1);

    assertThat(tooEarly).isZero();
    assertThat(leases).isNotEmpty();
  }

  /**
   * Guards against a run that is started again because the lists of the former agent, read late,
   * lack it.
   */
  @Test
  void a_late_report_of_the_former_agent_does_not_count_after_the_next_one_was_accepted() {
    restartFirstWithLowerIncarnation();
    submit(1, false);
    ActiveRun run = new ActiveRun(started().get(0), 10);
    report(FIRST, List.of(run), List.of());
    leases.clear();

    agentIncarnations.put(FIRST, 2L);
    report(FIRST, List.of(), List.of());
    on(new Tick());
    int leasesOfFormer = leases.size();
    agentIncarnations.put(FIRST, 1L);
    report(FIRST, List.of(run), List.of());

    assertThat(leasesOfFormer).isZero();
    assertThat(leases).hasSize(1);
    assertThat(started()).containsExactly(run.run());
  }

  /** Guards against two processes under one name that take each other's place in turn. */
  @Test
  void a_silent_agent_that_comes_back_gets_no_lease_while_the_accepted_one_reports() {
    restartFirstWithLowerIncarnation();
    submit(1, false);
    List<ActiveRun> runs = List.of(new ActiveRun(started().get(0), 10));

    for (int i = 0; i < 15; i++) {
      agentIncarnations.put(FIRST, 1L);
      advanceAndReport(runs);
      assertThat(leases).isNotEmpty();
      leases.clear();
      agentIncarnations.put(FIRST, 2L);
      advanceAndReport(List.of());
      assertThat(leases).isEmpty();
    }

    assertThat(started()).hasSize(1);
  }

  /** Guards against an agent that gets no lease after one report of another was taken for its. */
  @Test
  void a_silent_agent_that_comes_back_gets_leases_once_the_accepted_one_is_silent() {
    restartFirstWithLowerIncarnation();
    leases.clear();

    agentIncarnations.put(FIRST, 2L);
    reportForSeconds(1);
    assertThat(leases).isEmpty();
    reportForSeconds(1);

    assertThat(leases).isNotEmpty();
  }

  /** Guards against an agent that waits for a lease although its clock has caught up again. */
  @Test
  void an_incarnation_above_all_others_gets_a_lease_at_once() {
    restartFirstWithLowerIncarnation();
    leases.clear();

    agentIncarnations.put(FIRST, 3L);
    report(FIRST, List.of(), List.of());

    assertThat(leases).hasSize(1);
  }

  /** Leaves the leader with the first incarnation of an agent that has followed the second one. */
  private void restartFirstWithLowerIncarnation() {
    agentIncarnations.put(FIRST, 2L);
    report(FIRST, List.of(), List.of());
    agentIncarnations.put(FIRST, 1L);
    lastOrdersNumbers.clear();
    reportForSeconds(3);
    assertThat(leases).isNotEmpty();
    leases.clear();
  }

  /** Reports at intervals under the present incarnation of the scenario, at first the lower one. */
  private void reportForSeconds(int seconds) {
    for (int i = 0; i < 5 * seconds; i++) {
      advanceAndReport(List.of());
    }
  }

  private void advanceAndReport(List<ActiveRun> running) {
    now = now.plusMillis(200);
    on(new LeaseExtended(5, now.plusSeconds(10)));
    report(FIRST, running, List.of());
    on(new Tick());
  }
}
