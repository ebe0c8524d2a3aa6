package org.cassiastack.agent;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Tick;
import org.cassiastack.decision.Decision;
import org.cassiastack.fallback.FallbackDirectory;
import org.cassiastack.fallback.FallbackNode;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.MinionId;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.ServiceName;
import org.cassiastack.protocol.Received;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.queue.QueuedTaskId;
import org.cassiastack.queue.Resources;
import org.cassiastack.request.LeaderNotice;
import org.cassiastack.runs.AgentLease;
import org.cassiastack.runs.Fences;
import org.cassiastack.runs.MinionIncarnation;
import org.cassiastack.runs.MinionProfile;
import org.cassiastack.runs.RunId;
import org.cassiastack.runs.RunOrders;
import org.cassiastack.runs.StartOrder;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The decisions of an agent about leases and orders that are out of the ordinary. */
class HolderLogTest {
  private static final Instant START = Instant.parse("2026-12-07T15:13:00Z");
  private static final NodeId LEADER = new NodeId("10.0.0.1");
  private static final NodeId FIRST = new NodeId("10.0.0.5/entry");
  private static final NodeId SECOND = new NodeId("10.0.0.6/entry");
  private static final FailureDomain DOMAIN = new FailureDomain("a");
  private static final long LEADER_FENCE = Fences.ofLeader(3);
  private static final long FALLBACK_FENCE = Fences.ofFallback(3);
  private static final Incarnation SELF = new Incarnation(7);
  private static final MinionIncarnation MINION =
      new MinionIncarnation(new MinionId("i-1"), START.minusSeconds(60).toEpochMilli());
  private static final RunId LEADERS_RUN = run(1);
  private static final RunId OTHER_RUN = run(2);

  private final AgentController agent =
      AgentController.create(
          new AgentSettings(
              SELF, START.minusSeconds(30), Duration.ofSeconds(1), Duration.ofMillis(50), true));
  private Instant now = START;

  @BeforeEach
  void obey_a_leader() {
    on(notice(3));
    List<FallbackNode> nodes =
        List.of(new FallbackNode(FIRST, DOMAIN), new FallbackNode(SECOND, DOMAIN));
    on(new Received(LEADER, new FallbackDirectory(3, 1, nodes)));
    Resources capacity = new Resources(8_000, 8_000, 0);
    on(
        new MinionAnnounced(
            new MinionProfile(MINION, new ServiceName("ice"), DOMAIN, capacity, List.of(), false),
            1));
    on(leaseMessage(LEADER, LEADER_FENCE));
  }

  /** Guards against late messages of which no log tells that an agent got them. */
  @Test
  void reports_orders_that_it_ignores_with_the_reason_and_the_runs() {
    takeFallback(FIRST);
    on(order(FIRST, FALLBACK_FENCE, 2, LEADERS_RUN));

    List<Effect> lower = on(order(LEADER, LEADER_FENCE, 3, OTHER_RUN));
    List<Effect> other = on(order(SECOND, FALLBACK_FENCE, 3, OTHER_RUN));
    List<Effect> higher = on(order(LEADER, Fences.ofLeader(4), 3, OTHER_RUN));
    List<Effect> old = on(order(FIRST, FALLBACK_FENCE, 2, OTHER_RUN));

    assertThat(decision(lower, "orders_ignored", LEADER, "lower_fence"))
        .contains("fence=" + LEADER_FENCE + " own_fence=" + FALLBACK_FENCE + " holder=" + FIRST)
        .contains("number=3 processed=2")
        .contains("starts=[" + OTHER_RUN + "] stops=[]");
    assertThat(decision(other, "orders_ignored", SECOND, "other_holder")).contains("number=3");
    assertThat(decision(higher, "orders_ignored", LEADER, "higher_fence")).contains("number=3");
    assertThat(decision(old, "orders_ignored", FIRST, "old_number"))
        .contains("number=2 processed=2");
  }

  @Test
  void reports_orders_for_another_incarnation_of_the_agent_or_of_the_minion() {
    MinionIncarnation formerMinion = new MinionIncarnation(new MinionId("i-1"), 1);
    List<StartOrder> starts = List.of(new StartOrder(OTHER_RUN, "spec"));

    List<Effect> ofAgent =
        on(
            new Received(
                LEADER,
                new RunOrders(LEADER_FENCE, new Incarnation(6), 1, MINION, starts, List.of())));
    List<Effect> ofMinion =
        on(
            new Received(
                LEADER, new RunOrders(LEADER_FENCE, SELF, 1, formerMinion, starts, List.of())));

    assertThat(decision(ofAgent, "orders_ignored", LEADER, "other_agent")).contains("number=1");
    assertThat(decision(ofMinion, "orders_ignored", LEADER, "other_minion"))
        .contains("life=" + formerMinion)
        .contains("starts=[" + OTHER_RUN + "]");
  }

  @Test
  void reports_leases_that_it_ignores_with_the_reason() {
    takeFallback(FIRST);
    Instant afterNow = now.plusSeconds(1);

    List<Effect> lower = on(leaseMessage(LEADER, LEADER_FENCE));
    List<Effect> other = on(leaseMessage(SECOND, FALLBACK_FENCE));
    List<Effect> notOwn =
        on(
            new Received(
                FIRST, new AgentLease(FALLBACK_FENCE, afterNow, Duration.ofSeconds(1), MINION, 0)));

    assertThat(decision(lower, "lease_ignored", LEADER, "lower_fence"))
        .contains("fence=" + LEADER_FENCE + " own_fence=" + FALLBACK_FENCE + " holder=" + FIRST);
    assertThat(decision(other, "lease_ignored", SECOND, "other_holder")).contains("duration=PT1S");
    assertThat(decision(notOwn, "lease_ignored", FIRST, "other_report"))
        .contains("report_sent=" + afterNow);
  }

  /** Guards against orders that outlast their holder without a trace in the log. */
  @Test
  void reports_the_first_orders_of_a_dispatcher_that_it_has_taken_again() {
    takeFallback(FIRST);
    List<Effect> first = on(order(FIRST, FALLBACK_FENCE, 1, LEADERS_RUN));
    // The lease comes late, and no tick has shown yet that it is missing.
    now = now.plusMillis(500);
    List<Effect> taken = on(leaseMessage(FIRST, FALLBACK_FENCE));

    List<Effect> resumed = on(order(FIRST, FALLBACK_FENCE, 2, OTHER_RUN));

    assertThat(first).noneMatch(e -> e instanceof Decision d && d.event().equals("orders_resumed"));
    assertThat(taken).anyMatch(e -> e instanceof Decision d && d.event().equals("fallback_taken"));
    assertThat(decision(resumed, "orders_resumed", FIRST, "first_since_taken"))
        .contains("fence=" + FALLBACK_FENCE + " number=2 lease_left=")
        .contains("starts=[" + OTHER_RUN + "]");
  }

  @Test
  void reports_a_leader_that_it_obeys_from_now_on_with_the_former_holder() {
    takeFallback(FIRST);
    on(notice(4));

    List<Effect> effects = on(leaseMessage(LEADER, Fences.ofLeader(4)));
    List<Effect> renewed = on(leaseMessage(LEADER, Fences.ofLeader(4)));

    assertThat(decision(effects, "leader_obeyed", LEADER, "new_fence"))
        .contains("fence=" + Fences.ofLeader(4) + " former=" + FIRST)
        .contains("former_fence=" + FALLBACK_FENCE + " lease_left=PT0.");
    assertThat(renewed).noneMatch(Decision.class::isInstance);
  }

  /** Returns the inputs of the only decision of a kind. */
  private static String decision(
      List<Effect> effects, String event, NodeId subject, String outcome) {
    List<Decision> found =
        effects.stream()
            .filter(e -> e instanceof Decision d && d.event().equals(event))
            .map(Decision.class::cast)
            .toList();
    assertThat(found).hasSize(1);
    assertThat(found.get(0).subject()).isEqualTo(subject.toString());
    assertThat(found.get(0).outcome()).isEqualTo(outcome);
    return found.get(0).inputs();
  }

  private List<Effect> takeFallback(NodeId node) {
    for (int i = 0; i < 48; i++) {
      now = now.plusMillis(9);
      on(new Tick());
    }
    return on(leaseMessage(node, FALLBACK_FENCE));
  }

  private List<Effect> on(Event event) {
    now = now.plusMillis(1);
    List<Effect> effects = new ArrayList<>(agent.on(event, now));
    effects.addAll(agent.endTurn(now));
    return effects;
  }

  private Received leaseMessage(NodeId from, long fence) {
    return new Received(from, new AgentLease(fence, now, Duration.ofSeconds(1), MINION, 0));
  }

  private static Received order(NodeId from, long fence, long number, RunId run) {
    List<StartOrder> starts = List.of(new StartOrder(run, "spec"));
    return new Received(from, new RunOrders(fence, SELF, number, MINION, starts, List.of()));
  }

  private static Received notice(long term) {
    return new Received(LEADER, new LeaderNotice(term, LEADER, List.of(LEADER)));
  }

  private static RunId run(long job) {
    return new RunId(new QueuedTaskId(new QueuedJobId(job), 0, 0, 0), 1);
  }
}
