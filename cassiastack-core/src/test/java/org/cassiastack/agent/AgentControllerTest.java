package org.cassiastack.agent;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Tick;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.MinionId;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.ServiceName;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.queue.QueuedTaskId;
import org.cassiastack.queue.Resources;
import org.cassiastack.request.LeaderNotice;
import org.cassiastack.runs.AgentLease;
import org.cassiastack.runs.AgentReport;
import org.cassiastack.runs.MinionIncarnation;
import org.cassiastack.runs.MinionProfile;
import org.cassiastack.runs.RunId;
import org.cassiastack.runs.RunOrders;
import org.cassiastack.runs.StartOrder;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class AgentControllerTest {
  private static final Instant START = Instant.parse("2026-12-04T08:00:00Z");
  private static final NodeId LEADER = new NodeId("10.0.0.1");
  private static final Incarnation INCARNATION = new Incarnation(7);
  private static final MinionIncarnation LIFE = new MinionIncarnation(new MinionId("i-1"), 100);
  private static final MinionIncarnation NEXT_LIFE =
      new MinionIncarnation(new MinionId("i-1"), 200);
  private static final RunId RUN = new RunId(new QueuedTaskId(new QueuedJobId(1), 0, 0, 0), 1);

  private final AgentController agent =
      AgentController.create(
          new AgentSettings(INCARNATION, START, Duration.ofSeconds(1), Duration.ofMillis(50)));
  private Instant now = START;
  private long hold;
  private @Nullable AgentReport lastReport;

  @BeforeEach
  void hasMinionAndLeaseAfterItsFirstSeconds() {
    on(new Received(LEADER, new LeaderNotice(1, LEADER, List.of(LEADER))));
    on(announced(LIFE, 1, false));
    answerHold();
    pass(1_200);
    lease(5);
    answerHold();
    // Only an answer to a call of the last moments vouches for the minion's life.
    answerHold();
  }

  @Test
  void starts_what_the_leader_orders_under_a_lease() {
    List<Effect> effects = order(5, 1, LIFE);

    assertThat(effects).anyMatch(e -> e instanceof CallStart c && c.order().run().equals(RUN));
  }

  @Test
  void starts_nothing_once_its_lease_has_run_out() {
    now = now.plusMillis(1_001);

    assertThat(order(5, 1, LIFE)).noneMatch(CallStart.class::isInstance);
  }

  @Test
  void obeys_no_leader_with_a_lower_fence() {
    lease(6);

    assertThat(order(5, 1, LIFE)).noneMatch(CallStart.class::isInstance);
  }

  @Test
  void takes_the_first_orders_of_each_leader_whatever_number_the_one_before_had_reached() {
    order(5, 40, LIFE);
    lease(6);

    List<Effect> effects = order(6, 1, LIFE);

    assertThat(effects).anyMatch(CallStart.class::isInstance);
  }

  @Test
  void starts_nothing_at_a_minion_that_has_said_that_it_leaves() {
    on(announced(LIFE, 2, true));

    assertThat(order(5, 1, LIFE)).noneMatch(CallStart.class::isInstance);
  }

  @Test
  void starts_nothing_that_was_meant_for_another_life_of_the_minion() {
    on(announced(NEXT_LIFE, 1, false));

    assertThat(order(5, 1, LIFE)).noneMatch(CallStart.class::isInstance);
  }

  @Test
  void reports_a_start_without_answer_as_unresolved_until_its_deadline_has_passed() {
    order(5, 1, LIFE);
    for (int i = 0; i < 3; i++) {
      on(new StartAnswered(RUN, StartAnswered.Outcome.UNANSWERED));
    }
    answerHold();
    pass(210);
    boolean before = lastReport().unresolved().contains(RUN);
    pass(1_300);
    answerHold();
    answerHold();
    pass(300);

    assertThat(before).isTrue();
    assertThat(lastReport().unresolved()).isEmpty();
  }

  @Test
  void a_start_without_answer_is_repeated_while_a_short_task_can_still_be_on_time() {
    Duration slackOfShortTask = Duration.ofMillis(110);

    List<Effect> effects = new ArrayList<>(order(5, 1, LIFE));
    effects.addAll(on(new StartAnswered(RUN, StartAnswered.Outcome.UNANSWERED)));
    effects.addAll(on(new StartAnswered(RUN, StartAnswered.Outcome.UNANSWERED)));

    assertThat(effects)
        .filteredOn(CallStart.class::isInstance)
        .extracting(e -> ((CallStart) e).timeout())
        .hasSize(3)
        .isSorted()
        .first()
        .satisfies(p -> assertThat(p).isLessThan(slackOfShortTask));
  }

  @Test
  void a_list_that_was_asked_for_before_a_start_was_answered_does_not_disprove_it() {
    order(5, 1, LIFE);
    on(new StartAnswered(RUN, StartAnswered.Outcome.STARTED));

    answerHold();
    pass(300);

    assertThat(lastReport().unresolved()).containsExactly(RUN);
  }

  @Test
  void revokes_starts_that_may_still_reach_a_reborn_minion() {
    order(5, 1, LIFE);
    on(new StartAnswered(RUN, StartAnswered.Outcome.UNANSWERED));

    List<Effect> effects = new ArrayList<>(on(announced(NEXT_LIFE, 1, false)));
    effects.addAll(on(new StartAnswered(RUN, StartAnswered.Outcome.UNANSWERED)));

    assertThat(effects).anyMatch(e -> e instanceof CallStop s && s.run().equals(RUN));
    assertThat(lastReport().unresolved()).containsExactly(RUN);
  }

  @Test
  void acknowledges_nothing_to_a_minion_that_may_have_begun_a_new_life() {
    lease(5, 9);
    on(new HoldFailed(hold));

    List<Effect> effects = pass(100);

    assertThat(effects)
        .anyMatch(e -> e instanceof CallHold h && h.acknowledgedThrough() == 0)
        .noneMatch(e -> e instanceof CallHold h && h.acknowledgedThrough() > 0);
  }

  @Test
  void reports_again_when_a_leader_that_another_member_named_speaks_for_itself() {
    NodeId next = new NodeId("10.0.0.2");
    on(new Received(LEADER, new LeaderNotice(2, next, List.of(LEADER, next))));
    now = now.plusMillis(12);

    List<Effect> effects = on(new Received(next, new LeaderNotice(2, next, List.of(LEADER, next))));

    assertThat(effects).anyMatch(e -> e instanceof Send s && s.to().equals(next));
  }

  @Test
  void a_restarted_agent_says_that_its_lists_are_not_complete_yet() {
    AgentController fresh =
        AgentController.create(
            new AgentSettings(
                new Incarnation(8), now, Duration.ofSeconds(1), Duration.ofMillis(50)));
    fresh.on(new Received(LEADER, new LeaderNotice(1, LEADER, List.of(LEADER))), now);

    List<Effect> effects = fresh.on(announced(LIFE, 1, false), now.plusMillis(10));

    assertThat(effects)
        .anyMatch(
            e -> e instanceof Send s && s.message() instanceof AgentReport r && !r.listsComplete());
  }

  private AgentReport lastReport() {
    return Objects.requireNonNull(lastReport);
  }

  private List<Effect> on(Event event) {
    now = now.plusMillis(1);
    List<Effect> effects = agent.on(event, now);
    for (Effect e : effects) {
      if (e instanceof CallHold h) {
        hold = h.number();
      } else if (e instanceof Send s && s.message() instanceof AgentReport r) {
        lastReport = r;
      }
    }
    return effects;
  }

  /** Lets time pass in ticks, while the minion answers and the leader renews the lease. */
  private List<Effect> pass(long millis) {
    List<Effect> effects = new ArrayList<>();
    Instant end = now.plusMillis(millis);
    while (now.isBefore(end)) {
      now = now.plusMillis(20);
      effects.addAll(on(new Tick()));
    }
    return effects;
  }

  private void answerHold() {
    on(new HoldAnswered(hold, clock(), List.of(), List.of()));
  }

  private void lease(long fence) {
    lease(fence, 0);
  }

  private void lease(long fence, long acknowledged) {
    on(new Received(LEADER, new AgentLease(fence, now, Duration.ofSeconds(1), LIFE, acknowledged)));
  }

  private List<Effect> order(long fence, long number, MinionIncarnation life) {
    StartOrder start = new StartOrder(RUN, "spec");
    return on(
        new Received(
            LEADER, new RunOrders(fence, INCARNATION, number, life, List.of(start), List.of())));
  }

  private MinionAnnounced announced(MinionIncarnation life, long sequence, boolean draining) {
    MinionProfile p =
        new MinionProfile(
            life,
            new ServiceName("ice"),
            new FailureDomain("a"),
            new Resources(8_000, 8_000, 0),
            List.of(),
            draining);
    return new MinionAnnounced(p, sequence, clock());
  }

  private long clock() {
    return 1_000 + Duration.between(START, now).toMillis();
  }
}
