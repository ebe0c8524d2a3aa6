package org.cassiastack.agent;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.cassiastack.controller.Effect;
import org.cassiastack.protocol.Received;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.queue.QueuedTaskId;
import org.cassiastack.runs.ActiveRun;
import org.cassiastack.runs.AgentLease;
import org.cassiastack.runs.RunId;
import org.cassiastack.runs.RunOrders;
import org.cassiastack.runs.StartOrder;
import org.junit.jupiter.api.Test;

/**
 * A minion refuses a call for its fence once it has carried out a late call of a former agent whose
 * clock was ahead.
 */
class RefusedCallTest extends AgentScenario {
  private static final Duration SHORT_LEASE = Duration.ofMillis(600);

  /** Units of the fence by which it follows the clock in a second. */
  private static final long UNITS_PER_SECOND = 2_000_000;

  /** Guards against runs that outlast their lease by the deadline of such a call. */
  @Test
  void after_a_refused_start_nothing_starts_under_a_lease_before_an_inherited_deadline() {
    awaitShortLease();
    long fence = fenceOfStart(order(5, 1, MINION));
    on(StartAnswered.fenced(RUN, fence));

    answerHold();
    answerHold();
    grantShortLease();
    List<Effect> tooEarly = order(5, 2, MINION);
    passWithAnswers(600);
    grantShortLease();
    List<Effect> later = order(5, 3, MINION);

    assertThat(tooEarly).noneMatch(CallStart.class::isInstance);
    assertThat(later).anyMatch(CallStart.class::isInstance);
  }

  /** Guards against runs that outlast their lease by the deadline of such a call. */
  @Test
  void after_a_refused_hold_call_nothing_starts_under_a_lease_before_an_inherited_deadline() {
    awaitShortLease();
    refuseHold();
    advance(100);

    answerHold();
    answerHold();
    grantShortLease();
    List<Effect> tooEarly = order(5, 1, MINION);
    passWithAnswers(600);
    grantShortLease();
    List<Effect> later = order(5, 2, MINION);

    assertThat(tooEarly).noneMatch(CallStart.class::isInstance);
    assertThat(later).anyMatch(CallStart.class::isInstance);
  }

  /**
   * Guards against a repeated start whose run outlasts its lease by the deadline of such a call.
   */
  @Test
  void after_a_refused_hold_call_no_start_is_repeated_under_a_lease_before_an_inherited_deadline() {
    awaitShortLease();
    order(5, 1, MINION);
    refuseHold();
    on(new StartAnswered(RUN, StartAnswered.Outcome.UNANSWERED));
    advance(100);

    List<Effect> tooEarly = on(emptyLists());
    List<Effect> later =
        on(new Received(LEADER, new AgentLease(5, now, Duration.ofSeconds(2), MINION, 0)));

    assertThat(tooEarly).noneMatch(CallStart.class::isInstance);
    assertThat(later).anyMatch(CallStart.class::isInstance);
  }

  /** Guards against starts while further calls of the former agent can extend the deadline. */
  @Test
  void after_a_refused_start_nothing_starts_before_the_minion_answers_a_higher_fence() {
    long fence = fenceOfStart(order(5, 1, MINION));
    List<Effect> refused = on(StartAnswered.fenced(RUN, fence));

    List<Effect> before = order(5, 2, MINION);
    answerHold();
    lease(5);
    List<Effect> after = order(5, 3, MINION);

    assertThat(refused).anyMatch(e -> e instanceof CallHold h && h.fence() > fence);
    assertThat(before).noneMatch(CallStart.class::isInstance);
    assertThat(after).anyMatch(CallStart.class::isInstance);
  }

  /** Guards against a fence that is months ahead of the clock of the next agent. */
  @Test
  void refusals_of_several_starts_with_one_fence_raise_the_fence_once() {
    List<StartOrder> starts = IntStream.range(0, 50).mapToObj(i -> startOf(i)).toList();
    List<Effect> calls =
        on(new Received(LEADER, new RunOrders(5, AGENT_INCARNATION, 1, MINION, starts, List.of())));
    long fence = fenceOfStart(calls);

    starts.forEach(s -> on(StartAnswered.fenced(s.run(), fence)));
    answerHold();

    long raised = fenceOfStop(orderStop(2));
    assertThat(raised - fence).isBetween(1L, UNITS_PER_SECOND);
  }

  /** Guards against a fence that leaps by weeks when a call is refused now and then. */
  @Test
  void an_answered_hold_call_ends_the_row_of_refusals_with_which_the_steps_grow() {
    long first = raiseByRefusedStop(1);
    for (int number = 2; number <= 10; number++) {
      raiseByRefusedStop(number);
    }

    answerHold();

    assertThat(raiseByRefusedStop(11)).isBetween(1L, first + UNITS_PER_SECOND);
  }

  /** Returns by how much the fence rises when the minion refuses a stop. */
  private long raiseByRefusedStop(long number) {
    long fence = fenceOfStop(orderStop(number));
    CallHold next =
        on(StopAnswered.fenced(RUN, fence)).stream()
            .filter(CallHold.class::isInstance)
            .map(CallHold.class::cast)
            .findFirst()
            .orElseThrow();
    return next.fence() - fence;
  }

  /** Guards against stops that take effect only once a hold call is refused, too. */
  @Test
  void after_a_refused_stop_a_hold_call_with_a_higher_fence_is_made_at_once() {
    long fence = fenceOfStop(orderStop(1));

    List<Effect> refused = on(StopAnswered.fenced(RUN, fence));
    List<Effect> next = orderStop(2);

    assertThat(refused).anyMatch(e -> e instanceof CallHold h && h.fence() > fence);
    assertThat(fenceOfStop(next)).isGreaterThan(fence);
  }

  /** Guards against runs that outlast their lease by the deadline of such a call. */
  @Test
  void after_a_refused_stop_nothing_starts_under_a_lease_before_an_inherited_deadline() {
    awaitShortLease();
    on(StopAnswered.fenced(RUN, fenceOfStop(orderStop(1))));

    answerHold();
    answerHold();
    grantShortLease();
    List<Effect> tooEarly = order(5, 2, MINION);
    passWithAnswers(600);
    grantShortLease();
    List<Effect> later = order(5, 3, MINION);

    assertThat(tooEarly).noneMatch(CallStart.class::isInstance);
    assertThat(later).anyMatch(CallStart.class::isInstance);
  }

  /** Guards against tasks that start elsewhere while such a call keeps their runs alive. */
  @Test
  void after_a_refused_hold_call_the_runs_count_for_the_longest_lease() {
    List<ActiveRun> running = List.of(new ActiveRun(RUN, 10));
    on(new HoldAnswered(lastHoldNumber, minionClockMillis(), running, List.of(), true));
    advance(800);
    refuseHold();

    failHolds(800);
    List<ActiveRun> counted = lastReport().running();
    failHolds(600);

    assertThat(counted).extracting(ActiveRun::run).containsExactly(RUN);
    assertThat(lastReport().running()).isEmpty();
  }

  /** Guards against starts that wait for a lease because calls of the agent changed places. */
  @Test
  void a_start_that_was_overtaken_by_a_later_call_of_the_agent_tells_of_no_former_agent() {
    awaitShortLease();
    long fence = fenceOfStart(order(5, 1, MINION));
    failHold();
    advance(100);
    answerHold();
    answerHold();
    grantShortLease();

    on(StartAnswered.fenced(RUN, fence));

    assertThat(order(5, 2, MINION)).anyMatch(CallStart.class::isInstance);
  }

  private HoldAnswered emptyLists() {
    return new HoldAnswered(lastHoldNumber, minionClockMillis(), List.of(), List.of(), true);
  }

  /** Passes the first lease, and grants a short one that covers every deadline until now. */
  private void awaitShortLease() {
    passWithAnswers(1_200);
    grantShortLease();
  }

  private static StartOrder startOf(int job) {
    return new StartOrder(new RunId(new QueuedTaskId(new QueuedJobId(job), 0, 0, 0), 1), "spec");
  }

  private List<Effect> orderStop(long number) {
    return on(
        new Received(
            LEADER, new RunOrders(5, AGENT_INCARNATION, number, MINION, List.of(), List.of(RUN))));
  }

  private void grantShortLease() {
    on(new Received(LEADER, new AgentLease(5, now, SHORT_LEASE, MINION, 0)));
  }

  private void passWithAnswers(long millis) {
    for (long i = 0; i < millis; i += 200) {
      advance(180);
      answerHold();
    }
  }

  private void failHolds(long millis) {
    for (long i = 0; i < millis; i += 200) {
      failHold();
      advance(180);
    }
  }

  private static long fenceOfStop(List<Effect> effects) {
    return effects.stream()
        .filter(CallStop.class::isInstance)
        .mapToLong(e -> ((CallStop) e).fence())
        .findFirst()
        .orElseThrow();
  }

  private static long fenceOfStart(List<Effect> effects) {
    return effects.stream()
        .filter(CallStart.class::isInstance)
        .mapToLong(e -> ((CallStart) e).fence())
        .findFirst()
        .orElseThrow();
  }
}
