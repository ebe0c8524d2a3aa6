package org.cassiastack.bench.spread;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Takes a failure domain out of service and returns it to service while jobs are submitted. */
@Timeout(120)
class DrainUnderLoadTest {
  private static final long START_COUNT = 200;

  @Test
  void no_task_starts_in_a_drained_domain_until_its_return_while_the_other_domain_continues()
      throws Exception {
    try (SpreadSystem system = SpreadSystem.start(4);
        JobLoad load = JobLoad.start(system.entries())) {
      system.northRecorder().awaitStarts(START_COUNT);

      system.setNorthInService(false);
      system.awaitInForce();
      // Calls that agents sent before the change came into force may still reach a minion, so a
      // start counts as late only after one second.
      system.northRecorder().countLateFrom(System.nanoTime() + Duration.ofSeconds(1).toNanos());
      system.southRecorder().awaitStarts(system.southRecorder().starts() + 5 * START_COUNT);

      assertThat(system.northRecorder().lateStarts()).isZero();
      assertThat(load.failedJobs()).isZero();

      system.northRecorder().stopCountingLate();
      system.setNorthInService(true);
      system.northRecorder().awaitStarts(system.northRecorder().starts() + START_COUNT);
    }
  }
}
