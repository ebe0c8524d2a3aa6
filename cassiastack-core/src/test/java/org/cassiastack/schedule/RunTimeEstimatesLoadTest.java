package org.cassiastack.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a drift of the estimated run times, and with these of the objectives, away from
 * the true values. The load is 60 % of the capacity of twelve workers for 40 s, as long as a day in
 * the benchmarks.
 */
class RunTimeEstimatesLoadTest {
  private static final int WORKERS = 12;
  private static final Duration DURATION = Duration.ofSeconds(40);
  private static final Duration RUN_TIME = Duration.ofMillis(286);

  /** 1.6 times the run time, plus 60 ms. */
  private static final Duration OBJECTIVE = Duration.ofNanos(517_600_000);

  private static final Duration MAX_DRIFT = Duration.ofMillis(100);

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void the_objective_of_a_job_does_not_drift_with_workers_of_equal_speed(long seed) {
    LoadSimulation simulation = LoadSimulation.of(WORKERS, seed);

    simulation.submitEvery(Duration.ofMillis(13), 2, RUN_TIME, DURATION);
    simulation.run(DURATION);

    assertThat(simulation.lastObjective()).isCloseTo(OBJECTIVE, MAX_DRIFT);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void the_objective_of_a_job_does_not_drift_with_workers_of_different_speeds(long seed) {
    LoadSimulation simulation = LoadSimulation.of(WORKERS, seed);
    for (int i = 0; i < WORKERS; i += 3) {
      simulation.slowDown(i, 1 / 0.6);
      simulation.slowDown(i + 1, 1 / 1.6);
    }

    simulation.submitEvery(Duration.ofMillis(13), 2, RUN_TIME, DURATION);
    simulation.run(DURATION);

    assertThat(simulation.lastObjective()).isCloseTo(OBJECTIVE, MAX_DRIFT);
  }
}
