package org.cassiastack.schedule.faults;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.schedule.faults.ResentJobProperties.Outcome;
import org.junit.jupiter.api.Test;

/**
 * Sends jobs that need not be stored again, 1.3 s after no answer, while entries read requests late
 * and notice late that callers are gone. Guards against a second run of a task beside the first
 * one, which {@link RunChecker} detects.
 */
class LateCallerProperties {
  private static final int TIMEOUT_MILLIS = 1_800;
  private static final int LONG_RUN_TIME_FACTOR = 60;
  private static final SimulatedCallers.Profile IMPATIENT_CALLERS =
      new SimulatedCallers.Profile(TIMEOUT_MILLIS, 14_000, Duration.ofMillis(700));

  /** Guards against leases of agents that rest on a time-out which the caller has passed. */
  @Property(tries = 60, shrinking = ShrinkingMode.OFF, seed = "20261207")
  void a_job_whose_caller_times_out_750_ms_before_its_entry_never_runs_twice(@ForAll long seed) {
    playTimeouts(seed, CallerDelays.ofRequests(750));
  }

  /** Guards against runs that go on while their entry has not noticed that the caller is gone. */
  @Test
  void a_job_whose_caller_is_seen_to_be_gone_late_never_runs_twice() {
    ResentJobProperties.play(110_036, CallerDelays.ofLosses(800));
    ResentJobProperties.playWithCutOffAgents(110_024, CallerDelays.ofLosses(800));
  }

  /**
   * Plays one seed in which callers give up long jobs while the agents of these are cut off, and
   * send them to the other failure domain, which has lost the leader.
   */
  static Outcome playTimeouts(long seed, CallerDelays delays) {
    QueueSimulation simulation = ResentJobProperties.start(seed);
    simulation.callers().setProfile(IMPATIENT_CALLERS);
    simulation.callers().setDelays(delays);
    simulation.runModel().lengthenRuns(LONG_RUN_TIME_FACTOR);
    Random random = new Random(seed + 1);
    long from = simulation.millis();
    FailureDomain reached = new FailureDomain("domain1");
    FailureDomain cutOff = new FailureDomain("domain0");
    List<SimulatedNode> entries = ResentJobProperties.entriesOf(simulation, reached.name());
    List<SimulatedNode> cutOffEntries = ResentJobProperties.entriesOf(simulation, cutOff.name());
    List<SimulatedNode> agents = ResentJobProperties.nodesOf(simulation, reached);
    agents.removeAll(entries);
    List<SimulatedNode> others = new ArrayList<>(simulation.members());
    others.addAll(simulation.entries());

    simulation
        .network()
        .separate(simulation.members(), ResentJobProperties.nodesOf(simulation, cutOff), 8_000);
    simulation.run(600);
    for (int i = 0; i < 16; i++) {
      simulation.callers().call(entries.get(i % 3), cutOffEntries.get(random.nextInt(3)));
      simulation.run(random.nextInt(20));
    }
    simulation.run(TIMEOUT_MILLIS + 250 + random.nextInt(400));
    simulation.network().separate(agents, others, 4_000);
    simulation.run(16_000);

    return ResentJobProperties.outcome(simulation, from);
  }
}
