package org.cassiastack.schedule.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.queue.QueuedJobId;
import org.junit.jupiter.api.Test;

/**
 * Sends jobs that need not be stored again, 1.3 s after their callers have lost the connection to
 * an entry, while processes are killed, frozen and cut off. Guards against a second run of a task
 * beside the first one, which {@link RunChecker} detects.
 */
class ResentJobProperties {
  private static final int START_MILLIS = 4_000;
  private static final int CALL_INTERVAL_MILLIS = 250;
  private static final int RUN_TIME_FACTOR = 14;

  /** Makes nearly all runs outlast the time after which jobs are sent again. */
  private static final int LONG_RUN_TIME_FACTOR = 60;

  private static final Duration EXPECTED_RUN_TIME = Duration.ofMillis(1_400);
  private static final SimulatedCallers.Profile CALLERS =
      new SimulatedCallers.Profile(5_000, 14_000, EXPECTED_RUN_TIME);

  @Property(tries = 40, shrinking = ShrinkingMode.OFF, seed = "20261206")
  void a_job_that_is_sent_again_never_runs_beside_its_first_run(@ForAll long seed) {
    play(seed);
  }

  /**
   * What became of the jobs of one seed.
   *
   * @param servedShare share of the jobs that were served
   * @param unfinishedRuns number of runs that were stopped or lost
   * @param unfinishedMillis sum of the run times of these
   */
  record Outcome(double servedShare, int unfinishedRuns, long unfinishedMillis) {}

  /** Plays one seed. */
  static Outcome play(long seed) {
    return play(seed, NetworkProfile.dropping());
  }

  static Outcome play(long seed, NetworkProfile network) {
    return play(seed, network, CallerDelays.none());
  }

  static Outcome play(long seed, CallerDelays delays) {
    return play(seed, NetworkProfile.dropping(), delays);
  }

  private static Outcome play(long seed, NetworkProfile network, CallerDelays delays) {
    QueueSimulation simulation = start(seed);
    simulation.network().setProfile(network);
    simulation.callers().setDelays(delays);
    Random random = new Random(seed + 1);
    long from = simulation.millis();
    simulation.callers().begin(CALL_INTERVAL_MILLIS);
    simulation.injectMinionFaults(random.nextInt(3) * 4, random.nextInt(3) * 3);

    for (int i = 0; i < 10; i++) {
      injectFaults(simulation, random);
      simulation.run(200 + random.nextInt(2_000));
    }
    simulation.callers().end();
    simulation.run(16_000);

    return outcome(simulation, from);
  }

  static Outcome outcome(QueueSimulation simulation, long from) {
    return new Outcome(
        simulation.callers().servedShare(from, simulation.millis(), null),
        simulation.runChecker().unfinishedRuns(),
        simulation.runChecker().unfinishedMillis());
  }

  /**
   * Guards against leases of agents that outlast the callers of their runs: no order reaches the
   * agents of one failure domain any more, and the jobs are sent again to the other one, which has
   * lost the leader.
   */
  @Property(tries = 40, shrinking = ShrinkingMode.OFF, seed = "20261206")
  void a_run_at_an_agent_that_is_cut_off_ends_before_its_job_is_sent_again(@ForAll long seed) {
    playWithCutOffAgents(seed);
  }

  static Outcome playWithCutOffAgents(long seed) {
    return playWithCutOffAgents(seed, NetworkProfile.dropping());
  }

  static Outcome playWithCutOffAgents(long seed, NetworkProfile network) {
    return playWithCutOffAgents(seed, network, CallerDelays.none());
  }

  static Outcome playWithCutOffAgents(long seed, CallerDelays delays) {
    return playWithCutOffAgents(seed, NetworkProfile.dropping(), delays);
  }

  private static Outcome playWithCutOffAgents(
      long seed, NetworkProfile network, CallerDelays delays) {
    QueueSimulation simulation = start(seed);
    simulation.network().setProfile(network);
    simulation.callers().setDelays(delays);
    simulation.runModel().lengthenRuns(LONG_RUN_TIME_FACTOR);
    Random random = new Random(seed + 1);
    long from = simulation.millis();
    List<SimulatedNode> lostEntries = entriesOf(simulation, "domain1");
    List<SimulatedNode> cutOffEntries = entriesOf(simulation, "domain0");
    List<SimulatedNode> agents = nodesOf(simulation, new FailureDomain("domain1"));
    agents.removeAll(lostEntries);
    List<SimulatedNode> others = new ArrayList<>(simulation.members());
    others.addAll(simulation.entries());

    simulation
        .network()
        .separate(simulation.members(), nodesOf(simulation, new FailureDomain("domain0")), 6_000);
    simulation.run(600);
    for (int i = 0; i < 10; i++) {
      simulation.callers().call(lostEntries.get(i % 3), cutOffEntries.get(random.nextInt(3)));
      simulation.run(random.nextInt(60));
    }
    for (SimulatedNode entry : lostEntries) {
      loseCallersOf((SimulatedEntry) entry, simulation, random);
    }
    if (random.nextBoolean()) {
      int delay = random.nextInt(700);
      simulation.runAfter(delay, () -> simulation.leader().freeze(100 + 2 * delay));
    }
    simulation.run(random.nextInt(800));
    simulation.network().separate(agents, others, 4_000);
    simulation.run(16_000);

    return outcome(simulation, from);
  }

  @Test
  void without_trouble_no_run_is_stopped_and_each_job_is_served() {
    for (long seed = 1; seed <= 5; seed++) {
      QueueSimulation simulation = start(seed);
      long from = simulation.millis();

      simulation.callers().begin(CALL_INTERVAL_MILLIS);
      simulation.run(10_000);
      simulation.callers().end();
      simulation.run(6_000);

      assertThat(simulation.runChecker().unfinishedRuns()).as(simulation.toString()).isZero();
      assertThat(simulation.callers().servedShare(from, from + 10_000, null))
          .as(simulation.toString())
          .isEqualTo(1);
    }
  }

  /** Guards against the fault of review/8: the entry is back before its loss counts. */
  @Test
  void a_job_of_a_killed_entry_that_is_back_is_stopped_before_a_cut_off_entry_gets_it_again() {
    QueueSimulation simulation = start(1);
    List<SimulatedNode> cutOff = nodesOf(simulation, new FailureDomain("domain0"));
    SimulatedEntry killed = (SimulatedEntry) entriesOf(simulation, "domain1").get(0);
    SimulatedEntry cutOffEntry = (SimulatedEntry) entriesOf(simulation, "domain0").get(0);
    simulation.runModel().lengthenRuns(40);
    simulation.network().separate(simulation.members(), cutOff, 6_000);
    simulation.run(1_000);

    QueuedJobId job = simulation.callers().call(killed, cutOffEntry);
    simulation.run(300);
    boolean startedBefore = simulation.runChecker().hasStarted(job);
    killed.crash();
    simulation.runAfter(100, killed::start);
    simulation.run(9_000);

    assertThat(startedBefore).isTrue();
    assertThat(simulation.runChecker().startsOf(job)).isEqualTo(2);
  }

  /** Starts a simulation with fallback dispatchers, long runs and patient callers. */
  static QueueSimulation start(long seed) {
    QueueSimulation simulation = QueueSimulation.withFallback(seed);
    simulation.callers().setProfile(CALLERS);
    simulation.runModel().lengthenRuns(RUN_TIME_FACTOR);
    simulation.run(START_MILLIS);
    simulation.configure(1);
    simulation.run(500);
    return simulation;
  }

  static List<SimulatedNode> entriesOf(QueueSimulation simulation, String domain) {
    return simulation.entries().stream()
        .filter(e -> ((SimulatedEntry) e).domain().name().equals(domain))
        .toList();
  }

  static List<SimulatedNode> nodesOf(QueueSimulation simulation, FailureDomain domain) {
    List<SimulatedNode> nodes = new ArrayList<>(entriesOf(simulation, domain.name()));
    simulation.agents().stream()
        .filter(a -> ((SimulatedAgent) a).domain().equals(domain))
        .forEach(nodes::add);
    return nodes;
  }

  /** Injects a loss of callers beside a fault that separates their entry from another one. */
  private static void injectFaults(QueueSimulation simulation, Random random) {
    int delay = random.nextInt(700);
    if (random.nextBoolean()) {
      loseCallers(simulation, random);
      simulation.runAfter(delay, () -> separate(simulation, random));
    } else {
      separate(simulation, random);
      simulation.runAfter(delay, () -> loseCallers(simulation, random));
    }
  }

  private static void loseCallers(QueueSimulation simulation, Random random) {
    List<SimulatedNode> entries = simulation.entries();
    SimulatedEntry entry = (SimulatedEntry) entries.get(random.nextInt(entries.size()));
    loseCallersOf(entry, simulation, random);
  }

  private static void loseCallersOf(
      SimulatedEntry entry, QueueSimulation simulation, Random random) {
    long millis = 100L + random.nextInt(2_500);
    switch (random.nextInt(5)) {
      case 4 -> {
        entry.losePower();
        simulation.runAfter(simulation.network().disconnectMillis() + millis, entry::start);
      }
      case 0 -> {
        entry.crash();
        simulation.runAfter(100, entry::start);
      }
      case 1 -> {
        entry.crash();
        simulation.runAfter(millis, entry::start);
      }
      case 2 -> simulation.callers().resetConnections(entry);
      default -> {
        entry.freeze(millis);
        simulation.runAfter(
            random.nextInt((int) millis), () -> simulation.callers().resetConnections(entry));
      }
    }
  }

  /** Slows one direction of the links of a process to the members. */
  private static void slowLinksOf(
      QueueSimulation simulation, SimulatedNode node, int delay, long millis) {
    boolean toNode = delay % 2 == 0;
    for (SimulatedNode m : simulation.members()) {
      SimulatedNode from = toNode ? m : node;
      SimulatedNode to = toNode ? node : m;
      simulation.network().slowLink(from, to, delay);
      simulation.runAfter(millis, () -> simulation.network().slowLink(from, to, 0));
    }
  }

  private static void separate(QueueSimulation simulation, Random random) {
    long millis = 500L + random.nextInt(4_000);
    List<SimulatedNode> cutOff =
        new ArrayList<>(
            nodesOf(simulation, new FailureDomain("domain" + random.nextInt(2))).stream()
                .filter(n -> random.nextInt(4) > 0)
                .toList());
    SimulatedNode agent = simulation.agents().get(random.nextInt(simulation.agents().size()));
    switch (random.nextInt(8)) {
      case 0, 1 -> simulation.network().separate(simulation.members(), cutOff, millis);
      case 6 -> {
        simulation.network().separate(simulation.members(), cutOff, millis);
        slowLinksOf(simulation, agent, random.nextInt(1_500), millis);
      }
      case 7 -> {
        simulation.network().separate(simulation.members(), cutOff, millis);
        SimulatedNode entry = simulation.entries().get(random.nextInt(6));
        slowLinksOf(simulation, entry, random.nextInt(1_500), millis);
      }
      case 2 -> {
        simulation.network().separate(simulation.members(), cutOff, millis);
        List<SimulatedNode> others = new ArrayList<>(simulation.entries());
        others.addAll(simulation.members());
        simulation.runAfter(
            random.nextInt(1_500),
            () -> simulation.network().separate(List.of(agent), others, millis));
      }
      case 3 -> {
        simulation.network().separate(simulation.members(), cutOff, millis);
        simulation.runAfter(random.nextInt(1_000), () -> simulation.leader().freeze(millis / 2));
      }
      case 4 -> {
        SimulatedNode leader = simulation.leader();
        simulation.network().separate(simulation.members(), cutOff, millis);
        leader.kill();
        simulation.runAfter(millis / 2, leader::start);
      }
      default -> {
        simulation.members().forEach(SimulatedNode::kill);
        simulation.runAfter(millis, () -> simulation.members().forEach(SimulatedNode::start));
      }
    }
  }
}
