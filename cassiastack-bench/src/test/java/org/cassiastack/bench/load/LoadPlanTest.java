package org.cassiastack.bench.load;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import org.cassiastack.model.CassiaException;
import org.junit.jupiter.api.Test;

class LoadPlanTest {
  private static final long SEED = 7;
  private static final Duration LENGTH = Duration.ofSeconds(100);

  @Test
  void equal_seeds_give_equal_plans() {
    LoadPlan first = LoadPlan.draw(Preset.ayaz(), Arrivals.poisson(), 10, LENGTH, SEED);
    LoadPlan second = LoadPlan.draw(Preset.ayaz(), Arrivals.poisson(), 10, LENGTH, SEED);

    assertThat(times(second)).isEqualTo(times(first)).isNotEmpty();
    assertThat(second.taskCount()).isEqualTo(first.taskCount());
  }

  @Test
  void arrivals_keep_to_the_rate_that_was_asked_for() {
    int jobs = LoadPlan.draw(Preset.ayaz(), Arrivals.poisson(), 50, LENGTH, SEED).jobs().size();

    assertThat(jobs).isBetween(4_700, 5_300);
  }

  @Test
  void jobs_of_a_burst_arrive_at_one_moment() {
    List<Duration> times = Arrivals.bursts(5).draw(50, LENGTH, new SplittableRandom(SEED));

    assertThat(times).hasSizeGreaterThan(1_000);
    assertThat(times.stream().distinct().count() * 5).isEqualTo(times.size());
  }

  @Test
  void the_rate_of_a_utilization_keeps_that_part_of_the_slots_busy() {
    Preset one = Preset.ayaz().with(Distribution.constant(4), Distribution.constant(500));

    double rate = one.with(8, List.of(1.0, 0.5)).jobsPerSecond(0.5);

    assertThat(rate).isCloseTo(3.0, within(1e-9));
  }

  @Test
  void the_ideal_job_waits_for_the_slots_of_the_job_before() {
    Preset oneSlot =
        Preset.ayaz()
            .with(Distribution.constant(1), Distribution.constant(100))
            .with(1, List.of(1.0));
    JobClass kind = oneSlot.mix().get(0);
    LoadPlan plan =
        new LoadPlan(
            List.of(
                new PlannedJob(0, Duration.ZERO, kind, List.of(100)),
                new PlannedJob(1, Duration.ofMillis(40), kind, List.of(100))));

    List<Duration> ideal = IdealLoadSchedule.jobTimes(plan, oneSlot);

    assertThat(ideal).containsExactly(Duration.ofMillis(100), Duration.ofMillis(160));
  }

  @Test
  void the_ideal_task_goes_where_it_ends_first() {
    Preset unequal =
        Preset.ayaz()
            .with(Distribution.constant(1), Distribution.constant(100))
            .with(1, List.of(0.5, 2.0));
    JobClass kind = unequal.mix().get(0);
    LoadPlan plan =
        new LoadPlan(List.of(new PlannedJob(0, Duration.ZERO, kind, List.of(100, 100, 100))));

    List<Duration> ideal = IdealLoadSchedule.jobTimes(plan, unequal);

    assertThat(ideal).containsExactly(Duration.ofMillis(150));
  }

  @Test
  void refuses_a_step_that_no_process_understands() {
    assertThatThrownBy(() -> Script.parse(List.of("3 explode agent-1")))
        .isInstanceOf(CassiaException.class)
        .hasMessageContaining("explode");
  }

  @Test
  void reads_the_steps_of_a_script_and_skips_comments() throws CassiaException {
    Script script = Script.parse(List.of("# a comment", "", "2.5 kill agent-1"));

    assertThat(script.steps())
        .extracting(Script.Step::offset)
        .containsExactly(Duration.ofMillis(2_500));
    assertThat(script.steps()).extracting(Script.Step::text).containsExactly("kill agent-1");
  }

  private static List<Duration> times(LoadPlan plan) {
    return plan.jobs().stream().map(PlannedJob::arrivalOffset).toList();
  }
}
