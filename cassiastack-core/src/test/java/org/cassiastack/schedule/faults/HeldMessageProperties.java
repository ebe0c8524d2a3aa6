package org.cassiastack.schedule.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.cassiastack.model.FailureDomain;
import org.junit.jupiter.api.Test;

/**
 * Cuts failure domains off from the control members for less than the time after which a connection
 * is lost, so that messages are delivered after the cut. Guards against a second run of a task
 * beside the first one, which {@link RunChecker} detects.
 */
class HeldMessageProperties {
  /** Silence after which the processes on the users' platform close a connection. */
  private static final int SHORT_DISCONNECT_MILLIS = 900;

  private static final int LONG_DISCONNECT_MILLIS = 3_000;
  private static final int MIN_CUT_MILLIS = 450;
  private static final int CALL_INTERVAL_MILLIS = 120;
  private static final int CUTS = 8;

  /** Random faults of {@link ResentJobProperties} that made a task run twice in its old form. */
  private static final List<Long> FAILED_SEEDS = List.of(100_390L, 100_409L, 100_490L);

  @Property(tries = 60, shrinking = ShrinkingMode.OFF, seed = "20261207")
  void messages_that_a_cut_held_back_start_no_task_beside_its_run(@ForAll long seed) {
    play(seed);
  }

  @Test
  void messages_that_a_cut_held_back_start_no_task_of_a_resent_job_beside_its_run() {
    FAILED_SEEDS.forEach(
        seed -> ResentJobProperties.play(seed, NetworkProfile.holding(LONG_DISCONNECT_MILLIS)));
    ResentJobProperties.play(100_071, NetworkProfile.holding(SHORT_DISCONNECT_MILLIS));
  }

  /** Plays one seed; returns the share of the jobs that were served. */
  static double play(long seed) {
    QueueSimulation simulation = ResentJobProperties.start(seed);
    Random random = new Random(seed + 1);
    boolean isShort = random.nextBoolean();
    int disconnectMillis = isShort ? SHORT_DISCONNECT_MILLIS : LONG_DISCONNECT_MILLIS;
    simulation.network().setProfile(NetworkProfile.holding(disconnectMillis));
    long from = simulation.millis();
    simulation.callers().begin(CALL_INTERVAL_MILLIS);

    for (int i = 0; i < CUTS; i++) {
      int cutMillis = MIN_CUT_MILLIS + random.nextInt(disconnectMillis);
      simulation
          .network()
          .separate(simulation.members(), partOfDomain(simulation, random), cutMillis);
      simulation.run(cutMillis + random.nextInt(1_500));
    }
    simulation.callers().end();
    simulation.run(16_000);

    assertThat(simulation.callers().startsByFallback()).as(simulation.toString()).isPositive();
    return simulation.callers().servedShare(from, simulation.millis(), null);
  }

  /** Returns the entries of a failure domain and one of its agents. */
  private static List<SimulatedNode> partOfDomain(QueueSimulation simulation, Random random) {
    FailureDomain domain = new FailureDomain("domain" + random.nextInt(2));
    List<SimulatedNode> nodes = new ArrayList<>(ResentJobProperties.nodesOf(simulation, domain));
    List<SimulatedNode> agents = nodes.stream().filter(SimulatedAgent.class::isInstance).toList();
    nodes.removeAll(agents);
    nodes.add(agents.get(random.nextInt(agents.size())));
    return nodes;
  }
}
