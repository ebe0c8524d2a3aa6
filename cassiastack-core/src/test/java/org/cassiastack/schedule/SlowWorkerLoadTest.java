package org.cassiastack.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * Guards against a slow worker that delays most jobs, because a job ends with its slowest task. The
 * load is jobs of eight short and of two longer tasks at 76 % of the capacity of ten workers, of
 * which one permanently becomes seven times slower.
 */
class SlowWorkerLoadTest {
  private static final int WORKERS = 10;
  private static final Duration DURATION = Duration.ofSeconds(20);
  private static final Duration WARM_UP = Duration.ofSeconds(5);

  private static final long[] SEEDS = {1, 2, 3};

  /**
   * Maximum share of jobs that may miss their objective because of the slow worker, which
   * contributes about a hundredth of the capacity of ten workers.
   */
  private static final double MAX_LOSS = 0.02;

  @Test
  void as_many_jobs_end_on_time_with_a_slow_worker_as_without_this_worker() {
    double withoutSlowWorker = 0;
    double withSlowWorker = 0;

    for (long seed : SEEDS) {
      withoutSlowWorker += onTimeShare(WORKERS - 1, 1, seed) / SEEDS.length;
      withSlowWorker += onTimeShare(WORKERS, 7, seed) / SEEDS.length;
    }

    assertThat(withSlowWorker).isGreaterThan(withoutSlowWorker - MAX_LOSS);
  }

  private static double onTimeShare(int workers, double slowness, long seed) {
    LoadSimulation simulation = LoadSimulation.of(workers, seed);
    simulation.submitEvery(Duration.ofMillis(30), 8, Duration.ofMillis(86), DURATION);
    simulation.submitEvery(Duration.ofMillis(25), 2, Duration.ofMillis(286), DURATION);
    simulation.run(WARM_UP);
    simulation.slowDown(0, slowness);
    simulation.run(DURATION);
    return simulation.counts().onTimeShare();
  }
}
