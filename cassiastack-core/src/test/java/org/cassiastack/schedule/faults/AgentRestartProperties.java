package org.cassiastack.schedule.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import java.util.function.BiConsumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/** Restarts agents in virtual time and cuts them off from the control members soon after. */
class AgentRestartProperties {
  private static final int START_MILLIS = 4_000;
  private static final int RESTARTS = 15;
  private static final int SETTLE_MILLIS = 10_000;
  private static final int TASKS_OF_ALL_AGENTS = 16;

  /** Makes runs last 0.6 to 2.4 s, longer than what is left of a lease after a restart. */
  private static final int RUN_TIME_FACTOR = 15;

  /** Guards against leases of a restarted agent that the leader does not count. */
  @Property(tries = 60, shrinking = ShrinkingMode.OFF, seed = "20261206")
  void no_task_runs_again_while_a_restarted_agent_that_is_cut_off_may_have_its_run(
      @ForAll long seed) {
    runRestarts(seed, AgentRestartProperties::restartAndCutOff);
  }

  /**
   * Guards against leases and lists that a former agent's late reports, with a clock that was
   * ahead, leave to the next one, and against an agent that gets no work after the restart.
   */
  @Property(tries = 60, shrinking = ShrinkingMode.OFF, seed = "20261207")
  void no_task_runs_again_while_an_agent_that_restarted_with_a_clock_set_back_may_have_its_run(
      @ForAll long seed) {
    runRestartsWithClocksSetBack(seed);
  }

  static void runRestartsWithClocksSetBack(long seed) {
    QueueSimulation simulation = runRestarts(seed, AgentRestartProperties::setBackAndCutOff);
    simulation.agents().forEach(SimulatedNode::start);
    simulation.run(SETTLE_MILLIS);

    // So many tasks that they need every agent.
    simulation.runModel().fixRunTime(1_500);
    simulation.submit(TASKS_OF_ALL_AGENTS, false);
    simulation.run(1_000);

    assertThat(simulation.agents())
        .as("agents with work, " + simulation)
        .allMatch(a -> ((SimulatedAgent) a).minion().isBusy());
  }

  private static QueueSimulation runRestarts(
      long seed, BiConsumer<QueueSimulation, Random> restart) {
    QueueSimulation simulation = QueueSimulation.create(seed);
    simulation.runModel().lengthenRuns(RUN_TIME_FACTOR);
    Random random = new Random(seed + 1);
    simulation.run(START_MILLIS);
    simulation.configure(1);
    simulation.run(200);

    for (int i = 0; i < RESTARTS; i++) {
      restart.accept(simulation, random);
      for (int j = 0; j < 8; j++) {
        simulation.submit(1 + random.nextInt(4), false);
        simulation.run(40 + random.nextInt(80));
      }
    }

    assertThat(simulation.runChecker().starts()).isPositive();
    return simulation;
  }

  private static void restartAndCutOff(QueueSimulation simulation, Random random) {
    SimulatedNode agent = simulation.agents().get(random.nextInt(QueueSimulation.AGENTS));
    killAndCutOff(simulation, agent, random, 1_500);
  }

  /** Also delays the messages of the agent, so that reports of the former one are read late. */
  private static void setBackAndCutOff(QueueSimulation simulation, Random random) {
    SimulatedNode agent = simulation.agents().get(random.nextInt(QueueSimulation.AGENTS));
    int delay = random.nextInt(900);
    simulation.members().forEach(m -> simulation.network().slowLink(agent, m, delay));
    simulation.run(300);
    killAndCutOff(simulation, agent, random, 3_000);
    agent.setClockBack(random.nextInt(2) == 0 ? random.nextInt(2_000) : random.nextInt(60_000));
    simulation.members().forEach(m -> simulation.network().slowLink(agent, m, 0));
  }

  private static void killAndCutOff(
      QueueSimulation simulation, SimulatedNode agent, Random random, int maxTimeToCut) {
    long back = 100L + random.nextInt(600);
    long cut = back + random.nextInt(maxTimeToCut);
    agent.kill();
    simulation.runAfter(back, agent::start);
    simulation.runAfter(
        cut, () -> simulation.network().separate(List.of(agent), simulation.members(), 1_500));
  }
}
