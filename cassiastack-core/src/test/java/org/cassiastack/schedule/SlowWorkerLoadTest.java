package org.cassiastack.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * The load: jobs of eight short and of two longer tasks at 76 % of ten workers, of which one turns
 * seven times slower for good.
 */
class SlowWorkerLoadTest {
  private static final int WORKERS = 10;
  private static final Duration DAY = Duration.ofSeconds(20);
  private static final Duration WARM_UP = Duration.ofSeconds(5);

  private static final long[] SEEDS = {1, 2, 3};

  /** How much of all jobs a slow worker may cost; it does a hundredth of the work of ten. */
  private static final double MOST_LOST = 0.02;

  @Test
  void callers_get_as_much_with_a_slow_worker_as_they_would_without_it() {
    double without = 0;
    double with = 0;

    for (long seed : SEEDS) {
      without += play(WORKERS - 1, 1, seed) / SEEDS.length;
      with += play(WORKERS, 7, seed) / SEEDS.length;
    }

    assertThat(with).isGreaterThan(without - MOST_LOST);
  }

  private static double play(int workers, double slowness, long seed) {
    LoadSimulation play = LoadSimulation.of(workers, seed);
    play.submitEvery(Duration.ofMillis(30), 8, Duration.ofMillis(86), DAY);
    play.submitEvery(Duration.ofMillis(25), 2, Duration.ofMillis(286), DAY);
    play.run(WARM_UP);
    play.slowDown(0, slowness);
    play.run(DAY);
    return play.onTimeShare();
  }
}
