package org.cassiastack.agent;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.cassiastack.controller.Effect;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.ServiceName;
import org.cassiastack.protocol.Received;
import org.cassiastack.queue.Resources;
import org.cassiastack.runs.MinionIncarnation;
import org.cassiastack.runs.MinionProfile;
import org.cassiastack.runs.RunOrders;
import org.cassiastack.runs.StartOrder;
import org.junit.jupiter.api.Test;

/** An agent that a leader may have removed from the ledger, because its minion has left. */
class DepartedMinionFallbackTest extends AgentFallbackScenario {
  private static final MinionIncarnation NEXT =
      new MinionIncarnation(MINION.id(), START.minusSeconds(1).toEpochMilli());

  /** Guards against a run that no leader waits for, since the ledger lacks the agent. */
  @Test
  void starts_nothing_for_a_dispatcher_before_a_leader_has_granted_a_lease_for_the_next_minion() {
    on(new MinionAnnounced(profile(MINION, true), 2));
    on(new MinionLeft(MINION.id()));
    List<Effect> effects = new ArrayList<>(silence(1_500));
    on(new MinionAnnounced(profile(NEXT, false), 1));
    effects.addAll(silence(50));
    answerHold();
    answerHold();
    on(leaseMessage(FIRST, FALLBACK_FENCE));
    on(leaseMessage(SECOND, FALLBACK_FENCE));
    on(leaseMessage(DISTANT, FALLBACK_FENCE));
    answerHold();
    answerHold();
    effects.clear();

    for (NodeId node : List.of(FIRST, SECOND, DISTANT)) {
      RunOrders orders =
          new RunOrders(
              FALLBACK_FENCE,
              new Incarnation(7),
              1,
              NEXT,
              List.of(new StartOrder(OTHER_RUN, "spec")),
              List.of());
      effects.addAll(on(new Received(node, orders)));
    }

    assertThat(effects).noneMatch(CallStart.class::isInstance);
  }

  private static MinionProfile profile(MinionIncarnation life, boolean draining) {
    return new MinionProfile(
        life,
        new ServiceName("ice"),
        new FailureDomain("a"),
        new Resources(8_000, 8_000, 0),
        List.of(),
        draining);
  }
}
