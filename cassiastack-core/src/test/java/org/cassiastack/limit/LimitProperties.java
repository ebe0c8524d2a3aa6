package org.cassiastack.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.cassiastack.model.NodeId;

class LimitProperties {
  private static final Instant START = Instant.parse("2026-12-04T08:00:00Z");
  private static final Duration VALIDITY = Duration.ofSeconds(5);

  @Property(seed = "20261204")
  void a_bucket_admits_no_more_than_its_rate_its_burst_and_one_job_in_any_window(
      @ForAll @IntRange(min = 1, max = 200) int rate,
      @ForAll @IntRange(min = 1, max = 300) int maxJobSize,
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    TokenBucket bucket = TokenBucket.full(rate, START);
    List<long[]> admitted = new ArrayList<>();
    long millis = 0;

    for (int i = 0; i < 200; i++) {
      millis += random.nextInt(200);
      int job = random.nextInt(1, maxJobSize + 1);
      if (bucket.tryAcquire(job, START.plusMillis(millis))) {
        admitted.add(new long[] {millis, job});
      }
    }

    for (int from = 0; from < admitted.size(); from++) {
      long sum = 0;
      for (int to = from; to < admitted.size(); to++) {
        sum += admitted.get(to)[1];
        double seconds = (admitted.get(to)[0] - admitted.get(from)[0]) / 1e3;
        assertThat((double) sum).isLessThanOrEqualTo(rate * seconds + rate + maxJobSize + 1e-6);
      }
    }
  }

  @Property(seed = "20261204")
  void the_sum_of_valid_shares_and_the_floors_of_other_coordinators_never_exceeds_the_quota(
      @ForAll @IntRange(min = 1, max = 12) int coordinators,
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    QuotaAllocator allocator = QuotaAllocator.of(1_000, coordinators, VALIDITY);
    Map<Integer, Double> held = new HashMap<>();
    Map<Integer, Instant> expiresAt = new HashMap<>();
    Instant now = START;

    for (int i = 0; i < 200; i++) {
      now = now.plusMillis(random.nextInt(1_500));
      int requester = random.nextInt(coordinators);
      double share = allocator.grant(new NodeId("c" + requester), random.nextDouble() * 1_500, now);
      held.put(requester, share);
      expiresAt.put(requester, now.plus(VALIDITY));

      double sum = 0;
      for (int c = 0; c < coordinators; c++) {
        boolean valid = now.isBefore(expiresAt.getOrDefault(c, Instant.MIN));
        sum += valid ? held.getOrDefault(c, 0.0) : allocator.floor();
      }
      assertThat(sum).isLessThanOrEqualTo(1_000 + 1e-6);
      assertThat(share).isGreaterThanOrEqualTo(allocator.floor() - 1e-9);
    }
  }

  @Property(seed = "20261204", tries = 100)
  void shares_reach_a_constant_demand_that_fits_the_quota(
      @ForAll @IntRange(min = 2, max = 8) int coordinators,
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    QuotaAllocator allocator = QuotaAllocator.of(1_000, coordinators, VALIDITY);
    double[] demand = new double[coordinators];
    for (int c = 0; c < coordinators; c++) {
      demand[c] =
          allocator.floor() + random.nextDouble() * (1_000.0 / coordinators - allocator.floor());
    }
    double[] share = new double[coordinators];

    for (int round = 0; round < 4; round++) {
      for (int c = 0; c < coordinators; c++) {
        share[c] = allocator.grant(new NodeId("c" + c), demand[c], START.plusSeconds(round));
      }
    }

    for (int c = 0; c < coordinators; c++) {
      assertThat(share[c]).isBetween(demand[c] - 1e-6, 1_000.0);
    }
  }
}
