package org.cassiastack.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cassiastack.schedule.PlacementLoad.Fault;
import org.cassiastack.schedule.PlacementLoad.Result;
import org.junit.jupiter.api.Test;

/**
 * Guards against estimates of run times and speeds that chance spoils, so that tasks get workers
 * where their jobs are late. The load is three kinds of jobs at 75 % of the capacity of thirty
 * workers; run times and the callers' estimates have a spread of 0.4.
 */
class PlacementLoadTest {
  private static final List<Double> EQUAL = List.of(1.0);
  private static final List<Double> FAR_APART = List.of(0.6, 1.0, 1.6);
  private static final List<Double> CLOSE = List.of(1.0, 1.0, 1.3);
  private static final long[] SEEDS = {1, 2, 3};
  private static final int KINDS = 3;
  private static final int[] TASKS = {8, 2, 4};
  private static final double LOAD = 0.75;
  private static final double TAIL_SHARE = 0.03;

  /** Share of the jobs of a kind that may be late because the workers differ in speed. */
  private static final double MAX_LOSS_BY_SPEEDS = 0.1;

  /** Share of the jobs of a kind that may be late because of long tasks of other jobs. */
  private static final double MAX_LOSS_BY_TAIL = 0.05;

  private static final Duration MAX_DETECTION = Duration.ofSeconds(1);

  @Test
  void each_kind_is_on_time_nearly_as_often_on_workers_of_different_speeds_as_on_equal_ones() {
    double[] equal = onTime(PlacementLoad.of(EQUAL, LOAD));

    double[] different = onTime(PlacementLoad.of(FAR_APART, LOAD));

    for (int kind = 0; kind < KINDS; kind++) {
      assertThat(different[kind]).isGreaterThan(equal[kind] - MAX_LOSS_BY_SPEEDS);
    }
  }

  @Test
  void a_few_tasks_that_take_seven_times_as_long_delay_hardly_any_job_but_their_own() {
    double[] without = onTime(PlacementLoad.of(CLOSE, LOAD));

    double[] with = onTime(PlacementLoad.of(CLOSE, LOAD).withTail(TAIL_SHARE));

    for (int kind = 0; kind < KINDS; kind++) {
      double withoutLongTask = Math.pow(1 - TAIL_SHARE, TASKS[kind]);
      assertThat(with[kind]).isGreaterThan(without[kind] * withoutLongTask - MAX_LOSS_BY_TAIL);
    }
  }

  @Test
  void a_worker_that_turns_slow_in_a_burst_is_found_within_a_second() {
    PlacementLoad burst = PlacementLoad.of(CLOSE, 1).withTail(TAIL_SHARE).with(Fault.SLOW);

    Result result = burst.play(SEEDS[0]);

    Map<String, Duration> found = new TreeMap<>();
    result.foundSlow().stream()
        .filter(f -> f.at().isAfter(result.faultAt()))
        .forEach(f -> found.putIfAbsent(f.agent(), Duration.between(result.faultAt(), f.at())));
    for (String agent : List.of("10.0.1.3/agent", "10.0.1.13/agent", "10.0.1.23/agent")) {
      assertThat(found.get(agent)).as(agent).isNotNull().isLessThan(MAX_DETECTION);
    }
  }

  /** Returns the share of the jobs on time by kind, as a mean over the seeds. */
  private static double[] onTime(PlacementLoad load) {
    double[] shares = new double[KINDS];
    for (long seed : SEEDS) {
      Result r = load.play(seed);
      for (int kind = 0; kind < KINDS; kind++) {
        shares[kind] += r.onTimeShare(kind) / SEEDS.length;
      }
    }
    return shares;
  }
}
