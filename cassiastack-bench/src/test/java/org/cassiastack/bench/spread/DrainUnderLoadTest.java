package org.cassiastack.bench.spread;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(120)
class DrainUnderLoadTest {
  private static final long STARTS = 200;

  @Test
  void nothing_starts_in_a_drained_domain_while_the_other_goes_on_and_it_comes_back()
      throws Exception {
    try (SpreadSystem system = SpreadSystem.start(4);
        JobLoad load = JobLoad.start(system.entries())) {
      system.northRecorder().awaitStarts(STARTS);

      system.setNorthInService(false);
      system.awaitInForce();
      // Calls that the agents had made before may still be on their way.
      system.northRecorder().countLateFrom(System.nanoTime() + Duration.ofSeconds(1).toNanos());
      system.southRecorder().awaitStarts(system.southRecorder().starts() + 5 * STARTS);

      assertThat(system.northRecorder().lateStarts()).isZero();
      assertThat(load.failedJobs()).isZero();

      system.northRecorder().stopCountingLate();
      system.setNorthInService(true);
      system.northRecorder().awaitStarts(system.northRecorder().starts() + STARTS);
    }
  }
}
