package org.cassiastack.schedule.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.BiConsumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.cassiastack.queue.JobPhase;
import org.cassiastack.queue.QueuedJobId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs control members, agents and minions in virtual time under random faults. {@link RunChecker}
 * checks each start of a run; at the end, every accepted job must have ended.
 */
class QueueFaultProperties {
  private static final int START_MILLIS = 4_000;
  private static final int SETTLE_MILLIS = 15_000;

  @Property(tries = 60, shrinking = ShrinkingMode.OFF, seed = "20261204")
  void every_accepted_job_ends_and_no_task_has_two_runs_at_the_same_time(@ForAll long seed) {
    runSimulation(QueueSimulation.create(seed), new Random(seed + 1));
  }

  /** Guards against tasks that run again because their ends are not on the first page. */
  @Property(tries = 60, shrinking = ShrinkingMode.OFF, seed = "31")
  void no_task_runs_again_after_its_end_while_minions_list_their_ends_in_pages(@ForAll long seed) {
    runSimulation(QueueSimulation.withEndsPerPage(seed, 1), new Random(seed + 1));
  }

  /** Runs seeds that have revealed a fault; docs/FINDINGS.md describes the fault of each seed. */
  @ParameterizedTest
  @ValueSource(longs = {-126_879, 200_145, 201_412, 295})
  void holds_on_seeds_that_once_failed(long seed) {
    runSimulation(QueueSimulation.create(seed), new Random(seed + 1));
  }

  static void runSimulation(QueueSimulation simulation, Random random) {
    runSimulation(simulation, random, QueueFaultProperties::injectFault);
  }

  /** Runs jobs beside the faults of an injector, and checks how the jobs end. */
  static void runSimulation(
      QueueSimulation simulation, Random random, BiConsumer<QueueSimulation, Random> faults) {
    simulation.run(START_MILLIS);
    simulation.configure(1);
    simulation.run(200);
    simulation.injectMinionFaults(random.nextInt(3) * 4, random.nextInt(3) * 3);
    List<QueuedJobId> jobs = new ArrayList<>();

    for (int i = 0; i < 25; i++) {
      faults.accept(simulation, random);
      for (int j = 0; j < 4; j++) {
        jobs.add(simulation.submit(1 + random.nextInt(4), random.nextInt(4) == 0));
        simulation.submitNonDurable(1 + random.nextInt(4));
        simulation.run(40 + random.nextInt(80));
      }
      if (random.nextInt(4) == 0) {
        simulation.cancel(jobs.get(random.nextInt(jobs.size())));
      }
      if (i % 6 == 5) {
        repair(simulation);
      }
    }
    simulation.injectMinionFaults(0, 0);
    repair(simulation);
    simulation.run(SETTLE_MILLIS);

    for (QueuedJobId id : jobs) {
      JobPhase phase = simulation.phase(id);
      String text = simulation + " job " + id;
      if (simulation.wasRefused(id)) {
        assertThat(phase).as(text + " was refused").isNull();
      } else if (simulation.wasAccepted(id)) {
        assertThat(phase).as(text + " was accepted").isNotNull();
        assertThat(phase.isFinal()).as(text + " is " + phase).isTrue();
      }
      if (simulation.wasCancelled(id) && phase != null) {
        assertThat(phase).as(text + " was cancelled").isNotIn(JobPhase.QUEUED, JobPhase.RUNNING);
      }
    }
    assertThat(simulation.runChecker().starts()).isPositive();
  }

  private static void repair(QueueSimulation simulation) {
    simulation.members().forEach(SimulatedNode::resume);
    simulation.agents().forEach(SimulatedNode::resume);
    simulation.members().forEach(SimulatedNode::start);
    simulation.agents().forEach(SimulatedNode::start);
    simulation.reconnectAll();
    simulation.run(3_000);
  }

  private static void injectFault(QueueSimulation simulation, Random random) {
    SimulatedNode member = simulation.members().get(random.nextInt(QueueSimulation.MEMBERS));
    SimulatedNode agent = simulation.agents().get(random.nextInt(QueueSimulation.AGENTS));
    boolean allMembersUp = simulation.members().stream().allMatch(SimulatedNode::isUp);
    switch (random.nextInt(10)) {
      case 0 -> {
        if (allMembersUp) {
          simulation.losePower(member);
          simulation.runAfter(500 + random.nextInt(2_000), member::start);
        }
      }
      case 1 -> {
        member.pause();
        simulation.runAfter(500 + random.nextInt(3_000), member::resume);
      }
      case 2 -> {
        agent.kill();
        simulation.runAfter(100 + random.nextInt(1_500), agent::start);
      }
      case 3 -> {
        agent.pause();
        simulation.runAfter(500 + random.nextInt(3_000), agent::resume);
      }
      case 4 -> simulation.crashMinion(agent);
      case 5 -> simulation.members().forEach(m -> cutLinkBothWays(simulation, agent, m));
      case 6 -> simulation.members().forEach(m -> cutLinkBothWays(simulation, m, member));
      case 7 -> simulation.members().forEach(m -> simulation.cutLink(member, m));
      case 8 -> simulation.drainMinion(agent, 800 + random.nextInt(2_000));
      default -> {
        // No fault this time.
      }
    }
  }

  private static void cutLinkBothWays(
      QueueSimulation simulation, SimulatedNode a, SimulatedNode b) {
    if (a != b) {
      simulation.cutLink(a, b);
      simulation.cutLink(b, a);
    }
  }
}
