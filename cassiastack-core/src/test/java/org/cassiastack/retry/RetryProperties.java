package org.cassiastack.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

class RetryProperties {
  private static final Instant START = Instant.parse("2026-12-04T08:00:00Z");

  @Property(seed = "20261204")
  void retries_stay_within_the_ratio_the_floor_and_the_initial_budget(
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    RetryBudget budget = RetryBudget.of(0.1, 1, 10, START);
    int firstAttempts = 0;
    int retries = 0;
    long millis = 0;

    for (int i = 0; i < 500; i++) {
      millis += random.nextInt(20);
      if (random.nextBoolean()) {
        budget.recordFirstAttempt();
        firstAttempts++;
      } else if (budget.tryAcquire(START.plusMillis(millis))) {
        retries++;
      }

      assertThat((double) retries)
          .isLessThanOrEqualTo(10 + 0.1 * firstAttempts + millis / 1e3 + 1e-6);
    }
  }

  @Property(seed = "20261204")
  void delays_stay_between_zero_and_the_maximum(
      @ForAll @IntRange(min = 0, max = 1_000) int retry,
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    Duration maxDelay = Duration.ofSeconds(2);
    Backoff backoff = Backoff.of(Duration.ofMillis(50), maxDelay, new SplittableRandom(seed));

    Duration delay = backoff.delayBefore(retry);

    assertThat(delay).isBetween(Duration.ZERO, maxDelay);
  }
}
