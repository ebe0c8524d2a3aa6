package org.cassiastack.schedule.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/** Restarts agents in virtual time and cuts them off from the control members soon after. */
class AgentRestartProperties {
  private static final int START_MILLIS = 4_000;
  private static final int RESTARTS = 15;

  /** Makes runs last 0.6 to 2.4 s, longer than what is left of a lease after a restart. */
  private static final int RUN_TIME_FACTOR = 15;

  /** Guards against leases of a restarted agent that the leader does not count. */
  @Property(tries = 60, shrinking = ShrinkingMode.OFF, seed = "20261206")
  void no_task_runs_again_while_a_restarted_agent_that_is_cut_off_may_have_its_run(
      @ForAll long seed) {
    QueueSimulation simulation = QueueSimulation.create(seed);
    simulation.runModel().lengthenRuns(RUN_TIME_FACTOR);
    Random random = new Random(seed + 1);
    simulation.run(START_MILLIS);
    simulation.configure(1);
    simulation.run(200);

    for (int i = 0; i < RESTARTS; i++) {
      restartAndCutOff(simulation, random);
      for (int j = 0; j < 8; j++) {
        simulation.submit(1 + random.nextInt(4), false);
        simulation.run(40 + random.nextInt(80));
      }
    }

    assertThat(simulation.runChecker().starts()).isPositive();
  }

  private static void restartAndCutOff(QueueSimulation simulation, Random random) {
    SimulatedNode agent = simulation.agents().get(random.nextInt(QueueSimulation.AGENTS));
    long back = 100L + random.nextInt(600);
    long cut = back + random.nextInt(1_500);
    agent.kill();
    simulation.runAfter(back, agent::start);
    simulation.runAfter(
        cut, () -> simulation.network().separate(List.of(agent), simulation.members(), 1_500));
  }
}
