package org.cassiastack.agent;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.cassiastack.controller.Effect;
import org.cassiastack.decision.Decision;
import org.cassiastack.request.DialFallback;
import org.cassiastack.request.HangUpFallback;
import org.cassiastack.runs.Fences;
import org.junit.jupiter.api.Test;

/** An agent that loses its leader and uses the fallback dispatchers of its failure domain. */
class AgentFallbackTest extends AgentFallbackScenario {
  @Test
  void reports_to_the_fallback_dispatcher_of_its_own_domain_after_450_ms_without_a_lease() {
    List<Effect> early = silence(430);

    List<Effect> late = silence(60);

    assertThat(early).noneMatch(e -> isReportTo(e, FIRST));
    assertThat(late).contains(new DialFallback(List.of(FIRST, SECOND)));
    assertThat(late).anyMatch(e -> isReportTo(e, FIRST));
  }

  @Test
  void goes_on_to_the_next_dispatcher_and_to_those_of_other_domains_without_an_answer() {
    silence(500);

    List<Effect> next = silence(450);
    List<Effect> afterThat = silence(450);

    assertThat(next).anyMatch(e -> isReportTo(e, SECOND));
    assertThat(afterThat).anyMatch(e -> isReportTo(e, DISTANT));
  }

  @Test
  void goes_on_reporting_to_the_leader_while_it_holds_a_lease_of_a_fallback_dispatcher() {
    takeFallback(FIRST);

    assertThat(silence(250)).anyMatch(e -> isReportTo(e, LEADER));
  }

  @Test
  void stays_with_its_leader_where_fallback_is_not_in_use() {
    agent = agent(START.minusSeconds(30), false);
    giveMinionAndLeader();

    List<Effect> effects = silence(2_000);

    assertThat(effects)
        .noneMatch(DialFallback.class::isInstance)
        .noneMatch(e -> isReportTo(e, FIRST));
  }

  /** Guards against two holders that give the same capacity to different runs. */
  @Test
  void revokes_all_runs_of_the_leader_when_it_takes_a_fallback_dispatcher() {
    running = List.of(LEADERS_RUN);
    answerHold();
    on(order(LEADER, LEADER_FENCE, 1, OTHER_RUN));
    for (int call = 0; call < 3; call++) {
      on(new StartAnswered(OTHER_RUN, StartAnswered.Outcome.UNANSWERED));
    }

    List<Effect> effects = takeFallback(FIRST);

    assertThat(effects)
        .anyMatch(
            e ->
                e instanceof CallStop s
                    && s.minionIncarnation().equals(MINION)
                    && s.run().equals(LEADERS_RUN)
                    && s.fence() >= FALLBACK_FENCE)
        .anyMatch(e -> e instanceof Decision d && d.event().equals("fallback_taken"));
    assertThat(stops(effects)).contains(OTHER_RUN);
  }

  /**
   * Guards against a run that outlasts the lease by which its former holder counts it as ended: the
   * minion has one deadline for all runs.
   */
  @Test
  void extends_no_deadline_beyond_the_former_lease_while_stop_calls_are_unanswered() {
    running = List.of(LEADERS_RUN);
    answerHold();
    Instant formerLeaseUntil = lease(LEADER, LEADER_FENCE);
    takeFallback(FIRST);
    on(new StopAnswered(LEADERS_RUN, false));

    List<Effect> effects = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      effects.addAll(silence(100));
      effects.addAll(answerHold());
      lease(FIRST, FALLBACK_FENCE);
      effects.addAll(on(order(FIRST, FALLBACK_FENCE, i + 1, run(10 + i))));
    }

    assertThat(maxDeadline(effects)).isLessThanOrEqualTo(minionClock(formerLeaseUntil));
    assertThat(stops(effects)).contains(LEADERS_RUN);
  }

  @Test
  void extends_the_deadline_again_once_all_revoked_runs_have_ended() {
    running = List.of(LEADERS_RUN);
    answerHold();
    Instant formerLeaseUntil = lease(LEADER, LEADER_FENCE);
    takeFallback(FIRST);
    on(new StopAnswered(LEADERS_RUN, true));
    running = List.of();
    answerHold();
    lease(FIRST, FALLBACK_FENCE);

    List<Effect> effects = answerHold();

    assertThat(maxDeadline(effects)).isGreaterThan(minionClock(formerLeaseUntil));
  }

  @Test
  void ignores_a_lease_of_the_leader_that_arrives_after_a_fallback_dispatcher_was_taken() {
    takeFallback(FIRST);

    lease(LEADER, LEADER_FENCE);
    List<Effect> effects = on(order(LEADER, LEADER_FENCE, 1, OTHER_RUN));

    assertThat(effects).noneMatch(CallStart.class::isInstance);
    assertThat(silence(450)).noneMatch(HangUpFallback.class::isInstance);
    assertThat(on(order(FIRST, FALLBACK_FENCE, 1, OTHER_RUN)))
        .noneMatch(CallStart.class::isInstance);
  }

  @Test
  void a_late_lease_of_the_leader_ends_the_search_before_a_dispatcher_has_answered() {
    silence(500);

    lease(LEADER, LEADER_FENCE);
    lease(FIRST, FALLBACK_FENCE);

    assertThat(on(order(FIRST, FALLBACK_FENCE, 1, OTHER_RUN)))
        .noneMatch(CallStart.class::isInstance);
  }

  @Test
  void obeys_only_the_chosen_one_of_two_dispatchers_with_equal_fences() {
    takeFallback(FIRST);
    answerHold();

    lease(SECOND, FALLBACK_FENCE);
    List<Effect> ofOther = on(order(SECOND, FALLBACK_FENCE, 1, OTHER_RUN));
    List<Effect> ofChosen = on(order(FIRST, FALLBACK_FENCE, 1, OTHER_RUN));

    assertThat(ofOther).noneMatch(CallStart.class::isInstance);
    assertThat(ofChosen).anyMatch(CallStart.class::isInstance);
  }

  @Test
  void revokes_the_runs_of_a_silent_dispatcher_when_it_takes_the_next_one() {
    takeFallback(FIRST);
    running = List.of(OTHER_RUN);
    answerHold();
    silence(500);

    List<Effect> effects = on(leaseMessage(SECOND, FALLBACK_FENCE));

    assertThat(stops(effects)).containsExactly(OTHER_RUN);
  }

  @Test
  void keeps_its_runs_and_ignores_late_orders_of_the_dispatcher_once_a_leader_is_heard() {
    takeFallback(FIRST);
    running = List.of(OTHER_RUN);
    answerHold();

    List<Effect> effects = new ArrayList<>(on(notice(LEADER, 4, LEADER)));
    effects.addAll(on(order(FIRST, FALLBACK_FENCE, 1, run(3))));
    effects.addAll(on(leaseMessage(LEADER, Fences.ofLeader(4))));

    assertThat(effects)
        .noneMatch(CallStart.class::isInstance)
        .noneMatch(CallStop.class::isInstance)
        .anyMatch(e -> isReportTo(e, LEADER));
  }

  /** Guards against members that go on naming a leader which is frozen. */
  @Test
  void a_repeated_notice_of_another_member_does_not_end_the_use_of_a_dispatcher() {
    takeFallback(FIRST);
    answerHold();

    on(notice(MEMBER, 3, LEADER));

    assertThat(on(order(FIRST, FALLBACK_FENCE, 1, OTHER_RUN)))
        .anyMatch(CallStart.class::isInstance);
  }

  @Test
  void hangs_up_some_seconds_after_the_leader_is_back() {
    takeFallback(FIRST);
    on(notice(LEADER, 4, LEADER));

    List<Effect> effects = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      lease(LEADER, Fences.ofLeader(4));
      effects.addAll(silence(200));
    }

    assertThat(effects).containsOnlyOnce(new HangUpFallback());
  }

  /** Guards against agents of this version that refuse a leader of an earlier one. */
  @Test
  void obeys_a_leader_without_fallback_dispatchers_whose_fence_is_odd() {
    lease(LEADER, 7);

    assertThat(on(order(LEADER, 7, 1, OTHER_RUN))).anyMatch(CallStart.class::isInstance);
  }

  /** Guards against runs of an earlier incarnation of the agent that it cannot revoke. */
  @Test
  void a_restarted_agent_uses_no_dispatcher_while_unknown_runs_may_exist() {
    agent = agent(START, true);
    now = START;
    giveMinionAndLeader();

    List<Effect> early = silence(900);
    List<Effect> late = silence(300);

    assertThat(early).noneMatch(DialFallback.class::isInstance);
    assertThat(late).anyMatch(DialFallback.class::isInstance);
  }
}
