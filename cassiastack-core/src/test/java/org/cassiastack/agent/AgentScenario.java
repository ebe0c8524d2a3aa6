package org.cassiastack.agent;

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
import org.cassiastack.runs.EndedRun;
import org.cassiastack.runs.MinionIncarnation;
import org.cassiastack.runs.MinionProfile;
import org.cassiastack.runs.RunId;
import org.cassiastack.runs.RunOrders;
import org.cassiastack.runs.StartOrder;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeEach;

/** Base of tests of an agent that has a minion and a lease. */
abstract class AgentScenario {
  static final Instant START = Instant.parse("2026-12-04T08:00:00Z");
  static final NodeId LEADER = new NodeId("10.0.0.1");
  static final Incarnation AGENT_INCARNATION = new Incarnation(7);
  static final MinionIncarnation MINION = new MinionIncarnation(new MinionId("i-1"), 100);
  static final MinionIncarnation RESTARTED_MINION = new MinionIncarnation(new MinionId("i-1"), 200);
  static final RunId RUN = new RunId(new QueuedTaskId(new QueuedJobId(1), 0, 0, 0), 1);

  final AgentController agent =
      AgentController.create(
          new AgentSettings(
              AGENT_INCARNATION, START, Duration.ofSeconds(1), Duration.ofMillis(50)));
  Instant now = START;
  long lastHoldNumber;
  long lastHoldFence;
  @Nullable AgentReport lastReport;

  @BeforeEach
  void announceMinionAndGrantLease() {
    on(new Received(LEADER, new LeaderNotice(1, LEADER, List.of(LEADER))));
    on(announced(MINION, 1, false));
    answerHold();
    advance(1_200);
    lease(5);
    answerHold();
    // The previous answer was to a hold call that was sent too long ago. Only an answer to a recent
    // call confirms the incarnation of the minion.
    answerHold();
  }

  AgentReport lastReport() {
    return Objects.requireNonNull(lastReport);
  }

  List<Effect> on(Event event) {
    now = now.plusMillis(1);
    List<Effect> effects = new ArrayList<>(agent.on(event, now));
    effects.addAll(agent.endTurn(now));
    for (Effect e : effects) {
      if (e instanceof CallHold h) {
        lastHoldNumber = h.number();
        lastHoldFence = h.fence();
      } else if (e instanceof Send s && s.message() instanceof AgentReport r) {
        lastReport = r;
      }
    }
    return effects;
  }

  /** Advances time with a tick about every 20 ms, without answers from the minion or the leader. */
  List<Effect> advance(long millis) {
    List<Effect> effects = new ArrayList<>();
    Instant end = now.plusMillis(millis);
    while (now.isBefore(end)) {
      now = now.plusMillis(20);
      effects.addAll(on(new Tick()));
    }
    return effects;
  }

  void answerHold() {
    answerHold(List.of(), true);
  }

  void answerHold(List<EndedRun> ended, boolean allEndsListed) {
    on(new HoldAnswered(lastHoldNumber, minionClockMillis(), List.of(), ended, allEndsListed));
  }

  List<Effect> failHold() {
    return on(new HoldFailed(lastHoldNumber));
  }

  List<Effect> refuseHold() {
    return on(HoldFailed.fenced(lastHoldNumber, lastHoldFence));
  }

  void lease(long fence) {
    lease(fence, 0);
  }

  List<Effect> lease(long fence, long acknowledgedThrough) {
    return on(
        new Received(
            LEADER,
            new AgentLease(fence, now, Duration.ofSeconds(1), MINION, acknowledgedThrough)));
  }

  List<Effect> order(long fence, long number, MinionIncarnation minionIncarnation) {
    StartOrder start = new StartOrder(RUN, "spec");
    return on(
        new Received(
            LEADER,
            new RunOrders(
                fence, AGENT_INCARNATION, number, minionIncarnation, List.of(start), List.of())));
  }

  MinionAnnounced announced(MinionIncarnation minionIncarnation, long sequence, boolean draining) {
    MinionProfile p =
        new MinionProfile(
            minionIncarnation,
            new ServiceName("ice"),
            new FailureDomain("a"),
            new Resources(8_000, 8_000, 0),
            List.of(),
            draining);
    return new MinionAnnounced(p, sequence);
  }

  long minionClockMillis() {
    return 1_000 + Duration.between(START, now).toMillis();
  }
}
