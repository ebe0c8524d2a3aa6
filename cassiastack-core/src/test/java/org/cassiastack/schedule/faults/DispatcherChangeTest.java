package org.cassiastack.schedule.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.cassiastack.queue.QueuedJobId;
import org.junit.jupiter.api.Test;

/**
 * Agents turn from one fallback dispatcher to the next one, which has the same fence. {@link
 * RunChecker} fails when a task starts while it runs.
 */
class DispatcherChangeTest {
  /** Longer than the interval at which an agent asks a dispatcher that has not answered yet. */
  private static final int LINK_DELAY_MILLIS = 150;

  private final QueueSimulation simulation = ResentJobProperties.start(1);

  /** Guards against a run that counts as absent because orders of the former one were processed. */
  @Test
  void a_run_is_not_lost_by_a_report_that_counts_the_orders_of_the_former_dispatcher() {
    List<SimulatedNode> entries = simulation.entries();
    simulation.callers().begin(60);
    simulation.members().forEach(SimulatedNode::kill);
    simulation.run(2_000);
    simulation.callers().end();
    simulation.run(4_000);
    for (SimulatedNode agent : simulation.agents()) {
      simulation.network().slowLink(entries.get(2), agent, LINK_DELAY_MILLIS);
    }

    ((SimulatedEntry) entries.get(0)).crash();
    simulation.run(300);
    QueuedJobId job = simulation.callers().call(entries.get(2), entries.get(4));
    simulation.run(6_000);

    assertThat(simulation.runChecker().startsOf(job)).isEqualTo(1);
  }
}
