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
  void retries_stay_within_the_ratio_the_floor_and_what_was_saved(
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    RetryBudget budget = RetryBudget.of(0.1, 1, 10, START);
    int tries = 0;
    int retries = 0;
    long millis = 0;

    for (int i = 0; i < 500; i++) {
      millis += random.nextInt(20);
      if (random.nextBoolean()) {
        budget.recordFirstAttempt();
        tries++;
      } else if (budget.tryAcquire(START.plusMillis(millis))) {
        retries++;
      }

      assertThat((double) retries).isLessThanOrEqualTo(10 + 0.1 * tries + millis / 1e3 + 1e-6);
    }
  }

  @Property(seed = "20261204")
  void waits_stay_between_zero_and_the_longest(
      @ForAll @IntRange(min = 0, max = 1_000) int retry,
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    Duration longest = Duration.ofSeconds(2);
    Backoff backoff = Backoff.of(Duration.ofMillis(50), longest, new SplittableRandom(seed));

    Duration wait = backoff.delayBefore(retry);

    assertThat(wait).isBetween(Duration.ZERO, longest);
  }
}
