package org.cassiastack.agent;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Tick;
import org.cassiastack.fallback.FallbackDirectory;
import org.cassiastack.fallback.FallbackNode;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.MinionId;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.ServiceName;
import org.cassiastack.protocol.Message;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.queue.QueuedTaskId;
import org.cassiastack.queue.Resources;
import org.cassiastack.request.LeaderNotice;
import org.cassiastack.runs.ActiveRun;
import org.cassiastack.runs.AgentLease;
import org.cassiastack.runs.AgentReport;
import org.cassiastack.runs.Fences;
import org.cassiastack.runs.MinionIncarnation;
import org.cassiastack.runs.MinionProfile;
import org.cassiastack.runs.RunId;
import org.cassiastack.runs.RunOrders;
import org.cassiastack.runs.StartOrder;
import org.junit.jupiter.api.BeforeEach;

/** Base of tests of an agent that loses its leader and uses fallback dispatchers. */
abstract class AgentFallbackScenario {
  static final Instant START = Instant.parse("2026-12-04T08:00:00Z");
  static final NodeId LEADER = new NodeId("10.0.0.1");
  static final NodeId MEMBER = new NodeId("10.0.0.2");
  static final NodeId FIRST = new NodeId("10.0.0.5/entry");
  static final NodeId SECOND = new NodeId("10.0.0.6/entry");
  static final NodeId DISTANT = new NodeId("10.0.0.7/entry");
  static final long LEADER_FENCE = Fences.ofLeader(3);
  static final long FALLBACK_FENCE = Fences.ofFallback(3);
  static final MinionIncarnation MINION =
      new MinionIncarnation(new MinionId("i-1"), START.minusSeconds(60).toEpochMilli());
  static final RunId LEADERS_RUN = run(1);
  static final RunId OTHER_RUN = run(2);

  AgentController agent = agent(START.minusSeconds(30), true);
  Instant now = START;
  long lastHold;
  List<RunId> running = List.of();

  @BeforeEach
  void obey_a_leader() {
    giveMinionAndLeader();
  }

  void giveMinionAndLeader() {
    on(notice(LEADER, 3, LEADER));
    List<FallbackNode> nodes =
        List.of(
            new FallbackNode(DISTANT, new FailureDomain("b")),
            new FallbackNode(FIRST, new FailureDomain("a")),
            new FallbackNode(SECOND, new FailureDomain("a")));
    on(new Received(LEADER, new FallbackDirectory(3, 1, nodes)));
    Resources capacity = new Resources(8_000, 8_000, 0);
    on(
        new MinionAnnounced(
            new MinionProfile(
                MINION, new ServiceName("ice"), new FailureDomain("a"), capacity, List.of(), false),
            1));
    answerHold();
    lease(LEADER, LEADER_FENCE);
    answerHold();
    answerHold();
  }

  List<Effect> takeFallback(NodeId node) {
    List<Effect> effects = silence(480);
    answerHold();
    effects.addAll(on(leaseMessage(node, FALLBACK_FENCE)));
    return effects;
  }

  List<Effect> on(Event event) {
    now = now.plusMillis(1);
    List<Effect> effects = new ArrayList<>(agent.on(event, now));
    effects.addAll(agent.endTurn(now));
    for (Effect e : effects) {
      lastHold = e instanceof CallHold h ? h.number() : lastHold;
    }
    return effects;
  }

  /** Advances time with ticks, without answers of the minion or of a holder. */
  List<Effect> silence(long millis) {
    List<Effect> effects = new ArrayList<>();
    for (Instant end = now.plusMillis(millis); now.isBefore(end); ) {
      now = now.plusMillis(9);
      effects.addAll(on(new Tick()));
    }
    return effects;
  }

  List<Effect> answerHold() {
    List<ActiveRun> runs = running.stream().map(r -> new ActiveRun(r, 0)).toList();
    return on(new HoldAnswered(lastHold, minionClock(now), runs, List.of(), true));
  }

  /** Passes a lease to the agent and returns its end. */
  Instant lease(NodeId from, long fence) {
    Received lease = leaseMessage(from, fence);
    on(lease);
    return now.plusMillis(999);
  }

  Received leaseMessage(NodeId from, long fence) {
    return new Received(from, new AgentLease(fence, now, Duration.ofSeconds(1), MINION, 0));
  }

  static Received order(NodeId from, long fence, long number, RunId run) {
    List<StartOrder> starts = List.of(new StartOrder(run, "spec"));
    Message orders = new RunOrders(fence, new Incarnation(7), number, MINION, starts, List.of());
    return new Received(from, orders);
  }

  static Received notice(NodeId from, long term, NodeId leader) {
    return new Received(from, new LeaderNotice(term, leader, List.of(LEADER, MEMBER)));
  }

  static boolean isReportTo(Effect e, NodeId node) {
    return e instanceof Send s && s.to().equals(node) && s.message() instanceof AgentReport;
  }

  static List<RunId> stops(List<Effect> effects) {
    return effects.stream()
        .filter(CallStop.class::isInstance)
        .map(e -> ((CallStop) e).run())
        .toList();
  }

  static long maxDeadline(List<Effect> effects) {
    long max = 0;
    for (Effect e : effects) {
      max = e instanceof CallHold h ? Math.max(max, h.deadlineMillis()) : max;
      max = e instanceof CallStart s ? Math.max(max, s.deadlineMillis()) : max;
    }
    return max;
  }

  static long minionClock(Instant at) {
    return 1_000 + Duration.between(START, at).toMillis();
  }

  static RunId run(long job) {
    return new RunId(new QueuedTaskId(new QueuedJobId(job), 0, 0, 0), 1);
  }

  static AgentController agent(Instant startedAt, boolean usesFallback) {
    return AgentController.create(
        new AgentSettings(
            new Incarnation(7),
            startedAt,
            Duration.ofSeconds(1),
            Duration.ofMillis(50),
            usesFallback));
  }
}
