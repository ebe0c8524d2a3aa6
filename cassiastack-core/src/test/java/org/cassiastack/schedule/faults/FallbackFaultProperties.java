package org.cassiastack.schedule.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.cassiastack.request.AnswerCode;
import org.junit.jupiter.api.Test;

/** Runs a leader, fallback dispatchers and agents in virtual time under faults. */
class FallbackFaultProperties {
  private static final int SETTLE_MILLIS = 8_000;

  /** {@link FallbackSimulation} checks each start of a run. */
  @Property(tries = 40, shrinking = ShrinkingMode.OFF, seed = "20261206")
  void no_task_has_two_runs_at_a_time_and_no_minion_more_than_its_capacity(@ForAll long seed) {
    FallbackSimulation simulation = new FallbackSimulation(seed);
    Random random = new Random(seed + 1);

    for (int i = 0; i < 12; i++) {
      injectFault(simulation, random);
      for (int j = 0; j < 10; j++) {
        simulation.submit(1 + random.nextInt(3));
        simulation.runFor(50 + random.nextInt(150));
      }
    }
    int startsBefore = simulation.starts();
    simulation.runFor(SETTLE_MILLIS);
    simulation.submit(1);
    simulation.runFor(SETTLE_MILLIS);

    assertThat(simulation.starts()).isGreaterThan(startsBefore);
  }

  @Test
  void jobs_run_while_all_control_members_are_off_and_after_their_return() {
    FallbackSimulation simulation = new FallbackSimulation(1);

    simulation.freezeAllMembers(3_000);
    for (int i = 0; i < 60; i++) {
      simulation.submit(1);
      simulation.runFor(50);
    }
    int byFallback = simulation.startsByFallback();
    simulation.runFor(SETTLE_MILLIS);

    assertThat(simulation.engagements()).isPositive();
    assertThat(byFallback).isGreaterThan(20);
    assertThat(simulation.answers.getOrDefault(AnswerCode.ACCEPTED, 0)).isGreaterThan(50);
  }

  private static void injectFault(FallbackSimulation simulation, Random random) {
    long millis = 200L + random.nextInt(3_000);
    switch (random.nextInt(6)) {
      case 0 -> simulation.freezeLeader(millis);
      case 1 -> simulation.freezeAllMembers(millis);
      case 2 -> simulation.freezeDispatcher(millis);
      case 3 -> simulation.cutOffFromMembers(millis);
      case 4 -> simulation.cutOffFromDispatcher(millis);
      default -> {
        simulation.freezeAllMembers(millis);
        simulation.freezeDispatcher(millis / 2);
      }
    }
  }
}
