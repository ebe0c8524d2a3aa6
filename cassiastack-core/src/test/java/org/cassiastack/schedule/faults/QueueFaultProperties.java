package org.cassiastack.schedule.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.cassiastack.queue.JobPhase;
import org.cassiastack.queue.QueuedJobId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Random runs of the whole path under faults, in virtual time. {@link RunChecker} checks each
 * start.
 */
class QueueFaultProperties {
  private static final int START_MILLIS = 4_000;
  private static final int QUIET_MILLIS = 15_000;

  @Property(tries = 60, shrinking = ShrinkingMode.OFF, seed = "20261204")
  void every_accepted_job_ends_whole_and_no_task_runs_twice_at_a_time(@ForAll long seed) {
    play(new QueueSimulation(seed), new Random(seed + 1));
  }

  /** Seeds that once showed a fault; what each of them found is in docs/FINDINGS.md. */
  @ParameterizedTest
  @ValueSource(longs = {-126_879, 200_145, 201_412})
  void holds_on_seeds_that_once_failed(long seed) {
    play(new QueueSimulation(seed), new Random(seed + 1));
  }

  static void play(QueueSimulation world, Random random) {
    world.run(START_MILLIS);
    world.configure(1);
    world.run(200);
    world.injectMinionFaults(random.nextInt(3) * 4, random.nextInt(3) * 3);
    List<QueuedJobId> jobs = new ArrayList<>();

    for (int i = 0; i < 25; i++) {
      fault(world, random);
      for (int j = 0; j < 4; j++) {
        jobs.add(world.submit(1 + random.nextInt(4), random.nextInt(4) == 0));
        world.submitNonDurable(1 + random.nextInt(4));
        world.run(40 + random.nextInt(80));
      }
      if (random.nextInt(4) == 0) {
        world.cancel(jobs.get(random.nextInt(jobs.size())));
      }
      if (i % 6 == 5) {
        repair(world);
      }
    }
    world.injectMinionFaults(0, 0);
    repair(world);
    world.run(QUIET_MILLIS);

    for (QueuedJobId id : jobs) {
      JobPhase phase = world.phase(id);
      String what = world + " job " + id;
      if (world.wasRefused(id)) {
        assertThat(phase).as(what + " was refused").isNull();
      } else if (world.wasAccepted(id)) {
        assertThat(phase).as(what + " was accepted").isNotNull();
        assertThat(phase.isFinal()).as(what + " is " + phase).isTrue();
      }
      if (world.wasCancelled(id) && phase != null) {
        assertThat(phase).as(what + " was cancelled").isNotIn(JobPhase.QUEUED, JobPhase.RUNNING);
      }
    }
    assertThat(world.runChecker().starts()).isPositive();
  }

  private static void repair(QueueSimulation world) {
    world.members().forEach(SimulatedNode::resume);
    world.agents().forEach(SimulatedNode::resume);
    world.members().forEach(SimulatedNode::start);
    world.agents().forEach(SimulatedNode::start);
    world.healAll();
    world.run(3_000);
  }

  private static void fault(QueueSimulation world, Random random) {
    SimulatedNode member = world.members().get(random.nextInt(QueueSimulation.MEMBERS));
    SimulatedNode agent = world.agents().get(random.nextInt(QueueSimulation.AGENTS));
    boolean calm = world.members().stream().allMatch(SimulatedNode::isUp);
    switch (random.nextInt(10)) {
      case 0 -> {
        if (calm) {
          world.killPower(member);
          world.after(500 + random.nextInt(2_000), member::start);
        }
      }
      case 1 -> {
        member.pause();
        world.after(500 + random.nextInt(3_000), member::resume);
      }
      case 2 -> {
        agent.kill();
        world.after(100 + random.nextInt(1_500), agent::start);
      }
      case 3 -> {
        agent.pause();
        world.after(500 + random.nextInt(3_000), agent::resume);
      }
      case 4 -> world.crashMinion(agent);
      case 5 -> world.members().forEach(m -> cutBoth(world, agent, m));
      case 6 -> world.members().forEach(m -> cutBoth(world, m, member));
      case 7 -> world.members().forEach(m -> world.cut(member, m));
      case 8 -> world.drainMinion(agent, 800 + random.nextInt(2_000));
      default -> {
        // Nothing fails this time.
      }
    }
  }

  private static void cutBoth(QueueSimulation world, SimulatedNode a, SimulatedNode b) {
    if (a != b) {
      world.cut(a, b);
      world.cut(b, a);
    }
  }
}
