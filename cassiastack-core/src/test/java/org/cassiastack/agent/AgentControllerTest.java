package org.cassiastack.agent;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.cassiastack.controller.ClockLeaped;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Tick;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.MinionId;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.cassiastack.request.LeaderNotice;
import org.cassiastack.runs.ActiveRun;
import org.cassiastack.runs.AgentLease;
import org.cassiastack.runs.AgentReport;
import org.cassiastack.runs.MinionIncarnation;
import org.junit.jupiter.api.Test;

class AgentControllerTest extends AgentScenario {
  @Test
  void starts_an_ordered_run_while_it_holds_a_lease() {
    List<Effect> effects = order(5, 1, MINION);

    assertThat(effects).anyMatch(e -> e instanceof CallStart c && c.order().run().equals(RUN));
  }

  @Test
  void starts_nothing_after_its_lease_has_expired() {
    now = now.plusMillis(1_001);

    assertThat(order(5, 1, MINION)).noneMatch(CallStart.class::isInstance);
  }

  @Test
  void ignores_orders_of_a_leader_with_a_lower_fence() {
    lease(6);

    assertThat(order(5, 1, MINION)).noneMatch(CallStart.class::isInstance);
  }

  @Test
  void accepts_the_first_orders_of_a_new_leader_although_their_number_is_lower() {
    order(5, 40, MINION);
    lease(6);

    List<Effect> effects = order(6, 1, MINION);

    assertThat(effects).anyMatch(CallStart.class::isInstance);
  }

  @Test
  void starts_nothing_on_a_minion_that_is_draining() {
    on(announced(MINION, 2, true));

    assertThat(order(5, 1, MINION)).noneMatch(CallStart.class::isInstance);
  }

  @Test
  void starts_nothing_that_was_ordered_for_another_incarnation_of_the_minion() {
    on(announced(RESTARTED_MINION, 1, false));

    assertThat(order(5, 1, MINION)).noneMatch(CallStart.class::isInstance);
  }

  @Test
  void keeps_following_its_minion_when_another_writer_announces_a_later_incarnation() {
    on(announced(RESTARTED_MINION, 1, false));
    answerHold();

    assertThat(order(5, 1, MINION)).anyMatch(CallStart.class::isInstance);
  }

  @Test
  void follows_a_restarted_minion_once_the_former_incarnation_does_not_answer() {
    on(announced(RESTARTED_MINION, 1, false));
    failHold();
    on(new Tick());
    advance(60);
    answerHold();
    lease(5);

    assertThat(order(5, 1, RESTARTED_MINION)).anyMatch(CallStart.class::isInstance);
  }

  /**
   * Guards against a lease that outlasts what the leader counts on, because it counts from a time
   * by the clock of the former agent, which was ahead.
   */
  @Test
  void takes_no_lease_in_answer_to_a_report_of_an_incarnation_with_another_clock() {
    advance(1_200);
    answerHold();
    answerHold();

    leaseFrom(now.plusSeconds(3_600), Duration.ofSeconds(1));
    List<Effect> afterLaterReport = order(5, 1, MINION);
    leaseFrom(START.minusMillis(1), Duration.ofHours(1));
    List<Effect> afterEarlierReport = order(5, 2, MINION);
    leaseFrom(now, Duration.ofSeconds(1));
    List<Effect> afterOwnReport = order(5, 3, MINION);

    assertThat(afterLaterReport).noneMatch(CallStart.class::isInstance);
    assertThat(afterEarlierReport).noneMatch(CallStart.class::isInstance);
    assertThat(afterOwnReport).anyMatch(CallStart.class::isInstance);
  }

  private void leaseFrom(Instant reportSentAt, Duration duration) {
    on(new Received(LEADER, new AgentLease(5, reportSentAt, duration, MINION, 0)));
  }

  @Test
  void its_lists_do_not_become_complete_by_a_leap_of_its_clock() {
    AgentController restarted =
        AgentController.create(
            new AgentSettings(
                new Incarnation(8), now, Duration.ofSeconds(1), Duration.ofMillis(50)));
    restarted.on(new Received(LEADER, new LeaderNotice(1, LEADER, List.of(LEADER))), now);
    Instant later = now.plusSeconds(3);
    restarted.on(new ClockLeaped(Duration.ofSeconds(3)), later);
    restarted.on(announced(MINION, 1, false), later);

    List<Effect> effects = restarted.endTurn(later);

    assertThat(effects)
        .anyMatch(
            e -> e instanceof Send s && s.message() instanceof AgentReport r && !r.listsComplete());
  }

  @Test
  void follows_its_minion_although_another_writer_announced_a_later_incarnation_first() {
    AgentController started =
        AgentController.create(
            new AgentSettings(
                new Incarnation(8), now, Duration.ofSeconds(1), Duration.ofMillis(50)));
    started.on(announced(RESTARTED_MINION, 1, false), now);
    started.endTurn(now);

    started.on(announced(MINION, 1, false), now.plusMillis(1));

    assertThat(started.endTurn(now.plusMillis(1)))
        .anyMatch(e -> e instanceof CallHold h && h.minionIncarnation().equals(MINION));
  }

  @Test
  void ignores_an_incarnation_that_claims_to_have_started_in_the_far_future() {
    failHold();
    long tomorrow = now.plus(Duration.ofDays(1)).toEpochMilli();
    MinionIncarnation odd = new MinionIncarnation(new MinionId("i-1"), tomorrow);

    on(announced(odd, 1, false));
    advance(100);
    answerHold();

    assertThat(order(5, 1, MINION)).anyMatch(CallStart.class::isInstance);
  }

  @Test
  void reports_an_unanswered_start_as_unresolved_until_its_deadline_has_passed() {
    order(5, 1, MINION);
    for (int i = 0; i < 3; i++) {
      on(new StartAnswered(RUN, StartAnswered.Outcome.UNANSWERED));
    }
    answerHold();
    advance(210);
    boolean unresolvedBefore = lastReport().unresolved().contains(RUN);
    advance(1_300);
    answerHold();
    answerHold();
    advance(300);

    assertThat(unresolvedBefore).isTrue();
    assertThat(lastReport().unresolved()).isEmpty();
  }

  @Test
  void repeats_an_unanswered_start_while_a_short_task_can_still_be_on_time() {
    Duration slackOfShortTask = Duration.ofMillis(110);

    List<Effect> effects = new ArrayList<>(order(5, 1, MINION));
    effects.addAll(on(new StartAnswered(RUN, StartAnswered.Outcome.UNANSWERED)));
    effects.addAll(on(new StartAnswered(RUN, StartAnswered.Outcome.UNANSWERED)));

    assertThat(effects)
        .filteredOn(CallStart.class::isInstance)
        .extracting(e -> ((CallStart) e).timeout())
        .hasSize(3)
        .isSorted()
        .first()
        .satisfies(timeout -> assertThat(timeout).isLessThan(slackOfShortTask));
  }

  @Test
  void run_lists_requested_before_a_start_was_answered_do_not_prove_the_run_absent() {
    order(5, 1, MINION);
    on(new StartAnswered(RUN, StartAnswered.Outcome.STARTED));

    answerHold();
    advance(300);

    assertThat(lastReport().unresolved()).containsExactly(RUN);
  }

  @Test
  void revokes_starts_that_may_still_reach_a_restarted_minion() {
    order(5, 1, MINION);
    on(new StartAnswered(RUN, StartAnswered.Outcome.UNANSWERED));

    List<Effect> effects = new ArrayList<>(on(announced(RESTARTED_MINION, 1, false)));
    effects.addAll(on(new StartAnswered(RUN, StartAnswered.Outcome.UNANSWERED)));
    effects.addAll(failHold());

    assertThat(effects)
        .anyMatch(e -> e instanceof CallStop s && s.run().equals(RUN))
        .noneMatch(CallStart.class::isInstance);
    assertThat(lastReport().unresolved()).containsExactly(RUN);
  }

  /**
   * Guards against runs that are taken for gone because the call of a former minion is read late.
   */
  @Test
  void a_departure_that_is_read_late_does_not_end_the_runs_of_a_restarted_minion() {
    List<ActiveRun> running = List.of(new ActiveRun(RUN, 40));
    on(new HoldAnswered(lastHoldNumber, minionClockMillis(), running, List.of(), true));

    on(new MinionLeft(MINION.id()));
    advance(200);

    assertThat(lastReport().running()).isEqualTo(running);
  }

  @Test
  void a_minion_that_drained_has_no_runs_after_its_departure() {
    List<ActiveRun> running = List.of(new ActiveRun(RUN, 40));
    on(announced(MINION, 2, true));
    on(new HoldAnswered(lastHoldNumber, minionClockMillis(), running, List.of(), true));

    on(new MinionLeft(MINION.id()));

    assertThat(lastReport().running()).isEmpty();
  }

  @Test
  void acknowledges_nothing_to_a_minion_that_may_have_restarted() {
    lease(5, 9);
    on(new HoldFailed(lastHoldNumber));

    List<Effect> effects = advance(100);

    assertThat(effects)
        .anyMatch(e -> e instanceof CallHold h && h.acknowledgedThrough() == 0)
        .noneMatch(e -> e instanceof CallHold h && h.acknowledgedThrough() > 0);
  }

  @Test
  void reports_again_when_a_leader_that_another_member_named_sends_a_notice_itself() {
    NodeId next = new NodeId("10.0.0.2");
    on(new Received(LEADER, new LeaderNotice(2, next, List.of(LEADER, next))));
    now = now.plusMillis(12);

    List<Effect> effects = on(new Received(next, new LeaderNotice(2, next, List.of(LEADER, next))));

    assertThat(effects).anyMatch(e -> e instanceof Send s && s.to().equals(next));
  }

  @Test
  void a_restarted_agent_reports_that_its_lists_are_not_complete_yet() {
    AgentController restartedAgent =
        AgentController.create(
            new AgentSettings(
                new Incarnation(8), now, Duration.ofSeconds(1), Duration.ofMillis(50)));
    restartedAgent.on(new Received(LEADER, new LeaderNotice(1, LEADER, List.of(LEADER))), now);

    restartedAgent.on(announced(MINION, 1, false), now.plusMillis(10));
    List<Effect> effects = restartedAgent.endTurn(now.plusMillis(10));

    assertThat(effects)
        .anyMatch(
            e -> e instanceof Send s && s.message() instanceof AgentReport r && !r.listsComplete());
  }
}
