package org.cassiastack.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The load: 60 % of what twelve workers bear, for as long as a day on the bench. */
class LearnedWorkLoadTest {
  private static final int WORKERS = 12;
  private static final Duration DAY = Duration.ofSeconds(40);
  private static final Duration WORK = Duration.ofMillis(286);

  /** 1.6 times the work and 60 ms more. */
  private static final Duration OBJECTIVE = Duration.ofNanos(517_600_000);

  private static final Duration MOST_DRIFT = Duration.ofMillis(100);

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void the_objective_of_a_job_does_not_drift_while_workers_of_one_speed_work(long seed) {
    LoadSimulation play = LoadSimulation.of(WORKERS, seed);

    play.submitEvery(Duration.ofMillis(13), 2, WORK, DAY);
    play.run(DAY);

    assertThat(play.lastObjective()).isCloseTo(OBJECTIVE, MOST_DRIFT);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void the_objective_of_a_job_does_not_drift_while_workers_of_other_speeds_work(long seed) {
    LoadSimulation play = LoadSimulation.of(WORKERS, seed);
    for (int i = 0; i < WORKERS; i += 3) {
      play.slowDown(i, 1 / 0.6);
      play.slowDown(i + 1, 1 / 1.6);
    }

    play.submitEvery(Duration.ofMillis(13), 2, WORK, DAY);
    play.run(DAY);

    assertThat(play.lastObjective()).isCloseTo(OBJECTIVE, MOST_DRIFT);
  }
}
