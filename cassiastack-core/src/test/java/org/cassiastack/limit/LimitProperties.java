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
  void a_bucket_passes_no_more_than_its_rate_its_burst_and_one_job_in_any_window(
      @ForAll @IntRange(min = 1, max = 200) int rate,
      @ForAll @IntRange(min = 1, max = 300) int largestJob,
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    TokenBucket bucket = TokenBucket.full(rate, START);
    List<long[]> passed = new ArrayList<>();
    long millis = 0;

    for (int i = 0; i < 200; i++) {
      millis += random.nextInt(200);
      int job = random.nextInt(1, largestJob + 1);
      if (bucket.tryAcquire(job, START.plusMillis(millis))) {
        passed.add(new long[] {millis, job});
      }
    }

    for (int from = 0; from < passed.size(); from++) {
      long sum = 0;
      for (int to = from; to < passed.size(); to++) {
        sum += passed.get(to)[1];
        double seconds = (passed.get(to)[0] - passed.get(from)[0]) / 1e3;
        assertThat((double) sum).isLessThanOrEqualTo(rate * seconds + rate + largestJob + 1e-6);
      }
    }
  }

  @Property(seed = "20261204")
  void valid_shares_and_the_floors_of_the_others_never_exceed_the_quota(
      @ForAll @IntRange(min = 1, max = 12) int coordinators,
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    QuotaAllocator shares = QuotaAllocator.of(1_000, coordinators, VALIDITY);
    Map<Integer, Double> held = new HashMap<>();
    Map<Integer, Instant> until = new HashMap<>();
    Instant now = START;

    for (int i = 0; i < 200; i++) {
      now = now.plusMillis(random.nextInt(1_500));
      int asker = random.nextInt(coordinators);
      double share = shares.grant(new NodeId("c" + asker), random.nextDouble() * 1_500, now);
      held.put(asker, share);
      until.put(asker, now.plus(VALIDITY));

      double sum = 0;
      for (int c = 0; c < coordinators; c++) {
        boolean valid = now.isBefore(until.getOrDefault(c, Instant.MIN));
        sum += valid ? held.getOrDefault(c, 0.0) : shares.floor();
      }
      assertThat(sum).isLessThanOrEqualTo(1_000 + 1e-6);
      assertThat(share).isGreaterThanOrEqualTo(shares.floor() - 1e-9);
    }
  }

  @Property(seed = "20261204", tries = 100)
  void shares_converge_to_the_demand_when_it_stays_and_fits(
      @ForAll @IntRange(min = 2, max = 8) int coordinators,
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    QuotaAllocator shares = QuotaAllocator.of(1_000, coordinators, VALIDITY);
    double[] demand = new double[coordinators];
    for (int c = 0; c < coordinators; c++) {
      demand[c] = shares.floor() + random.nextDouble() * (1_000.0 / coordinators - shares.floor());
    }
    double[] share = new double[coordinators];

    for (int round = 0; round < 4; round++) {
      for (int c = 0; c < coordinators; c++) {
        share[c] = shares.grant(new NodeId("c" + c), demand[c], START.plusSeconds(round));
      }
    }

    for (int c = 0; c < coordinators; c++) {
      assertThat(share[c]).isBetween(demand[c] - 1e-6, 1_000.0);
    }
  }
}
