package org.cassiastack.agent;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.cassiastack.controller.Effect;
import org.cassiastack.decision.Decision;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.cassiastack.runs.AgentReport;
import org.junit.jupiter.api.Test;

/**
 * An agent that leaves a fallback dispatcher and asks it again, while messages of before are held
 * in the connection.
 */
class SameDispatcherAgainTest extends AgentFallbackScenario {
  /** Guards against a run of a job that the dispatcher has handed over since it ordered the run. */
  @Test
  void starts_nothing_by_a_late_order_while_it_asks_the_same_dispatcher_again() {
    takeFallback(FIRST);
    answerHold();
    askAgainAfterNotice(FIRST);

    List<Effect> effects = on(order(FIRST, FALLBACK_FENCE, 1, OTHER_RUN));

    assertThat(effects).noneMatch(CallStart.class::isInstance);
  }

  /** Guards against orders of before that follow the late lease in the same connection. */
  @Test
  void takes_a_dispatcher_again_only_by_an_answer_to_a_report_that_it_sent_since() {
    takeFallback(FIRST);
    answerHold();
    Received formerLease = leaseMessage(FIRST, FALLBACK_FENCE);
    askAgainAfterNotice(FIRST);

    List<Effect> late = new ArrayList<>(on(formerLease));
    late.addAll(on(order(FIRST, FALLBACK_FENCE, 1, OTHER_RUN)));
    on(leaseMessage(FIRST, FALLBACK_FENCE));
    List<Effect> present = on(order(FIRST, FALLBACK_FENCE, 1, run(3)));

    assertThat(late)
        .noneMatch(CallStart.class::isInstance)
        .noneMatch(e -> e instanceof Decision d && d.event().equals("fallback_taken"));
    assertThat(present).anyMatch(CallStart.class::isInstance);
  }

  /**
   * Guards against a dispatcher that takes a run for lost, and starts the task elsewhere, because
   * its order has a lower number than those of its former engagement.
   */
  @Test
  void counts_no_orders_of_its_former_holding_when_it_asks_the_same_dispatcher_again() {
    takeFallback(FIRST);
    answerHold();
    on(order(FIRST, FALLBACK_FENCE, 40, OTHER_RUN));
    List<AgentReport> before = reportsTo(FIRST, silence(250));

    List<AgentReport> after = reportsTo(FIRST, askAgainAfterNotice(FIRST));

    assertThat(before).last().extracting(AgentReport::processedOrdersThrough).isEqualTo(40L);
    assertThat(after).last().extracting(AgentReport::processedOrdersThrough).isEqualTo(0L);
  }

  /** Leaves a dispatcher for a leader that is heard once, and asks the dispatcher again. */
  private List<Effect> askAgainAfterNotice(NodeId node) {
    on(notice(LEADER, 4, LEADER));
    List<Effect> effects = silence(460);
    answerHold();
    // The previous answer was to a call that was sent before the silence.
    answerHold();
    assertThat(effects).anyMatch(e -> isReportTo(e, node));
    return effects;
  }

  private static List<AgentReport> reportsTo(NodeId node, List<Effect> effects) {
    return effects.stream()
        .filter(e -> isReportTo(e, node))
        .map(e -> (AgentReport) ((Send) e).message())
        .toList();
  }
}
