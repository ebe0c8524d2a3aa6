package org.cassiastack.schedule.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.cassiastack.model.FailureDomain;

/**
 * Cuts a failure domain off from the control members for longer than a leader keeps silent agents,
 * and connects its entries before its agents. Guards against a second run of a task beside one that
 * a fallback dispatcher has started, which {@link RunChecker} detects.
 */
class LongCutProperties {
  private static final int CUT_MILLIS = 32_000;
  private static final int CALL_INTERVAL_MILLIS = 120;

  @Property(tries = 20, shrinking = ShrinkingMode.OFF, seed = "20261207")
  void an_agent_that_is_back_after_its_dispatcher_has_no_run_beside_one_of_the_leader(
      @ForAll long seed) {
    QueueSimulation simulation = ResentJobProperties.start(seed);
    Random random = new Random(seed + 1);
    FailureDomain domain = new FailureDomain("domain" + random.nextInt(2));
    List<SimulatedNode> entries = new ArrayList<>(ResentJobProperties.nodesOf(simulation, domain));
    List<SimulatedNode> agents = entries.stream().filter(SimulatedAgent.class::isInstance).toList();
    entries.removeAll(agents);
    simulation.callers().begin(CALL_INTERVAL_MILLIS);

    simulation.network().separate(simulation.members(), entries, CUT_MILLIS);
    int later = random.nextInt(500);
    simulation.network().separate(simulation.members(), agents, CUT_MILLIS + later);

    simulation.run(CUT_MILLIS + 2_000);
    simulation.callers().end();
    simulation.run(4_000);
  }
}
