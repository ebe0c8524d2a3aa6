package org.cassiastack.agent;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Tick;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.Received;
import org.cassiastack.request.LeaderNotice;
import org.cassiastack.runs.ActiveRun;
import org.cassiastack.runs.AgentLease;
import org.cassiastack.runs.RunId;
import org.cassiastack.runs.RunOrders;
import org.cassiastack.runs.StartOrder;
import org.junit.jupiter.api.Test;

/** A minion that restarts under its identity carries out calls that its former life was sent. */
class MinionRestartTest extends AgentScenario {
  /** Guards against late calls of a former incarnation that have an effect at the next one. */
  @Test
  void calls_to_a_new_incarnation_carry_a_higher_fence_than_all_calls_to_the_former_one() {
    List<Effect> former = new ArrayList<>(order(5, 1, MINION));
    former.addAll(on(new StartAnswered(RUN, StartAnswered.Outcome.UNANSWERED)));
    former.addAll(failHold());

    List<Effect> effects = new ArrayList<>(on(announced(RESTARTED_MINION, 1, false)));
    effects.addAll(advance(100));

    assertThat(fences(effects)).isNotEmpty().allMatch(f -> f > highest(former));
  }

  /** Guards against calls to a minion that has restarted without having announced itself yet. */
  @Test
  void calls_after_a_failed_hold_call_carry_a_higher_fence_than_all_calls_before_it() {
    List<Effect> before = order(5, 1, MINION);
    failHold();

    assertThat(fences(advance(100))).isNotEmpty().allMatch(f -> f > highest(before));
  }

  /** Guards against late calls of a former agent that reach a minion after its restart. */
  @Test
  void calls_of_a_restarted_agent_carry_a_higher_fence_than_those_before() {
    List<Effect> before = order(5, 1, MINION);
    AgentController restarted =
        AgentController.create(
            new AgentSettings(
                new Incarnation(8), now, Duration.ofSeconds(1), Duration.ofMillis(50)));
    now = now.plusMillis(1);

    restarted.on(announced(MINION, 2, false), now);

    assertThat(fences(restarted.endTurn(now))).isNotEmpty().allMatch(f -> f > highest(before));
  }

  /** Guards against an old order that a minion carries out beside those of the next leader. */
  @Test
  void calls_under_another_leader_carry_a_higher_fence_than_all_calls_before_them() {
    List<Effect> before = order(5, 1, MINION);
    lease(6);

    List<Effect> effects = failHold();
    effects.addAll(advance(100));

    assertThat(fences(effects)).isNotEmpty().allMatch(f -> f > highest(before) && f >= 6);
  }

  /** Guards against starts that an agent repeats at a minion that may have restarted. */
  @Test
  void an_unanswered_start_is_not_called_again_before_the_minion_answers_a_hold_call() {
    order(5, 1, MINION);
    failHold();

    List<Effect> silent = on(new StartAnswered(RUN, StartAnswered.Outcome.UNANSWERED));
    silent.addAll(advance(40));
    advance(60);
    List<Effect> answered =
        on(new HoldAnswered(lastHoldNumber, minionClockMillis(), List.of(), List.of(), true));

    assertThat(silent).noneMatch(CallStart.class::isInstance);
    assertThat(answered).anyMatch(CallStart.class::isInstance);
  }

  /** Guards against tasks that start elsewhere while the new incarnation carries out a start. */
  @Test
  void lists_of_a_new_incarnation_are_not_complete_before_it_has_answered() {
    failHold();
    on(announced(RESTARTED_MINION, 1, false));
    advance(300);
    boolean completeBefore = lastReport().listsComplete();

    answerHold();

    assertThat(completeBefore).isFalse();
    assertThat(lastReport().listsComplete()).isTrue();
  }

  /** Guards against jobs that wait for ever for a minion that only announces itself. */
  @Test
  void a_new_incarnation_that_stays_silent_counts_as_empty_after_the_longest_lease() {
    failHold();
    on(announced(RESTARTED_MINION, 1, false));

    advance(1_500);

    assertThat(lastReport().listsComplete()).isTrue();
    assertThat(lastReport().reachable()).isFalse();
  }

  /** Guards against a task that waits for ever for a minion that only announces itself. */
  @Test
  void a_start_at_a_former_incarnation_is_given_up_when_the_next_one_stays_silent() {
    order(5, 1, MINION);
    on(new StartAnswered(RUN, StartAnswered.Outcome.UNANSWERED));
    failHold();
    on(announced(RESTARTED_MINION, 1, false));
    List<RunId> before = silence(5_000);

    List<RunId> after = silence(15_000);

    assertThat(before).containsExactly(RUN);
    assertThat(after).isEmpty();
  }

  /** Guards against a run that stays unresolved by a call whose repetition was answered. */
  @Test
  void a_repeated_start_at_a_former_incarnation_is_given_up_when_the_next_one_stays_silent() {
    order(5, 1, MINION);
    on(new StartAnswered(RUN, StartAnswered.Outcome.UNANSWERED));
    on(new StartAnswered(RUN, StartAnswered.Outcome.STARTED));
    List<ActiveRun> running = List.of(new ActiveRun(RUN, 10));
    on(new HoldAnswered(lastHoldNumber, minionClockMillis(), running, List.of(), true));
    failHold();
    on(announced(RESTARTED_MINION, 1, false));
    List<RunId> before = silence(5_000);

    List<RunId> after = silence(15_000);

    assertThat(before).containsExactly(RUN);
    assertThat(after).isEmpty();
  }

  /** Guards against calls without a pause to a minion that refuses connections. */
  @Test
  void a_stop_of_a_former_start_that_fails_is_called_again_after_a_pause_of_50_ms() {
    order(5, 1, MINION);
    failHold();
    on(new StartAnswered(RUN, StartAnswered.Outcome.UNANSWERED));
    List<Effect> first = on(announced(RESTARTED_MINION, 1, false));

    List<Effect> failed = on(new StopAnswered(RUN, false));
    Instant failedAt = now;
    Instant dueAt = agent.nextTickAt(now);
    List<Effect> early = advance(40);
    List<Effect> later = advance(20);

    assertThat(first).anyMatch(CallStop.class::isInstance);
    assertThat(failed).noneMatch(CallStop.class::isInstance);
    assertThat(early).noneMatch(CallStop.class::isInstance);
    assertThat(dueAt).isEqualTo(failedAt.plusMillis(50));
    assertThat(later).anyMatch(e -> e instanceof CallStop s && s.run().equals(RUN));
    assertThat(lastReport().unresolved()).containsExactly(RUN);
  }

  /** Lets no call be answered for some time; returns the runs that are unresolved then. */
  private List<RunId> silence(long millis) {
    for (long i = 0; i < millis; i += 200) {
      failHold();
      on(new StopAnswered(RUN, false));
      advance(200);
    }
    return lastReport().unresolved();
  }

  /** Guards against leases of a former agent's calls that a restarted agent does not count. */
  @Test
  void a_restarted_agent_starts_nothing_under_a_lease_that_ends_before_an_inherited_deadline() {
    AgentController restarted =
        AgentController.create(
            new AgentSettings(
                new Incarnation(8), now, Duration.ofSeconds(1), Duration.ofMillis(50)));
    now = now.plusMillis(1_200);
    restarted.on(new Received(LEADER, new LeaderNotice(1, LEADER, List.of(LEADER))), now);
    restarted.on(announced(MINION, 2, false), now);
    CallHold hold = nextHold(restarted);
    now = now.plusMillis(1);
    restarted.on(new HoldAnswered(hold.number(), 40, List.of(), List.of(), true), now);
    AgentLease lease = new AgentLease(7, now, Duration.ofMillis(400), MINION, 0);
    restarted.on(new Received(LEADER, lease), now);

    StartOrder start = new StartOrder(RUN, "spec");
    RunOrders orders = new RunOrders(7, new Incarnation(8), 1, MINION, List.of(start), List.of());
    List<Effect> effects = restarted.on(new Received(LEADER, orders), now);

    assertThat(effects).noneMatch(CallStart.class::isInstance);
  }

  /** Guards against runs that nobody ordered at the new incarnation. */
  @Test
  void stops_the_runs_that_a_new_incarnation_has_when_it_first_answers() {
    failHold();
    on(announced(RESTARTED_MINION, 1, false));

    List<Effect> effects =
        on(new HoldAnswered(lastHoldNumber, 40, List.of(new ActiveRun(RUN, 10)), List.of(), true));

    assertThat(effects).anyMatch(e -> e instanceof CallStop s && s.run().equals(RUN));
    assertThat(lastReport().running()).extracting(ActiveRun::run).containsExactly(RUN);
  }

  /** Guards against runs that outlast their lease by a deadline of the former incarnation. */
  @Test
  void starts_nothing_under_a_lease_that_ends_before_an_inherited_deadline() {
    failHold();
    on(announced(RESTARTED_MINION, 1, false));
    answerHold();
    answerHold();
    grantShortLease();
    boolean reachableBefore = lastReport().reachable();
    List<Effect> tooEarly = order(7, 1, RESTARTED_MINION);

    advance(160);
    answerHold();
    advance(160);
    answerHold();
    advance(160);
    answerHold();
    answerHold();
    grantShortLease();
    on(new Tick());
    List<Effect> later = order(7, 2, RESTARTED_MINION);

    assertThat(reachableBefore).isFalse();
    assertThat(tooEarly).noneMatch(CallStart.class::isInstance);
    assertThat(later).anyMatch(CallStart.class::isInstance);
  }

  private void grantShortLease() {
    on(new Received(LEADER, new AgentLease(7, now, Duration.ofMillis(600), RESTARTED_MINION, 0)));
  }

  /** Guards against a fence that falls when the agent's clock is set back. */
  @Test
  void its_fence_does_not_fall_when_its_clock_is_set_back() {
    List<Effect> before = order(5, 1, MINION);
    now = now.minusSeconds(60);
    on(new Received(new NodeId("10.0.0.2"), new LeaderNotice(1, LEADER, List.of(LEADER))));
    List<Effect> effects = failHold();
    effects.addAll(advance(100));

    assertThat(fences(effects)).isNotEmpty().allMatch(f -> f > highest(before));
  }

  /** Guards against an agent that stays refused after a restart with a clock that was set back. */
  @Test
  void a_restarted_agent_whose_clock_was_set_back_raises_its_fence_until_the_minion_accepts_it() {
    long seen = highest(order(5, 1, MINION));
    now = now.minus(Duration.ofHours(1));
    AgentController restarted =
        AgentController.create(
            new AgentSettings(
                new Incarnation(8), now, Duration.ofSeconds(1), Duration.ofMillis(50)));
    restarted.on(announced(MINION, 2, false), now);

    int refusals = 0;
    CallHold hold = nextHold(restarted);
    while (hold.fence() < seen && refusals < 100) {
      refusals++;
      restarted.on(HoldFailed.fenced(hold.number(), hold.fence()), now);
      restarted.on(new Tick(), now);
      now = now.plusMillis(75);
      hold = nextHold(restarted);
    }

    assertThat(refusals).isLessThan(20);
  }

  private CallHold nextHold(AgentController restarted) {
    return restarted.endTurn(now).stream()
        .filter(CallHold.class::isInstance)
        .map(CallHold.class::cast)
        .findFirst()
        .orElseThrow();
  }

  private static long highest(List<Effect> effects) {
    return fences(effects).stream().mapToLong(Long::longValue).max().orElseThrow();
  }

  private static List<Long> fences(List<Effect> effects) {
    List<Long> fences = new ArrayList<>();
    for (Effect e : effects) {
      if (e instanceof CallStart s) {
        fences.add(s.fence());
      } else if (e instanceof CallStop s) {
        fences.add(s.fence());
      } else if (e instanceof CallHold h) {
        fences.add(h.fence());
      }
    }
    return fences;
  }
}
