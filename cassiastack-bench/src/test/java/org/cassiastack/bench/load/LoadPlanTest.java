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
  private static final Duration ARRIVAL_PERIOD = Duration.ofSeconds(100);

  @Test
  void equal_seeds_give_equal_plans() {
    LoadPlan first = LoadPlan.draw(Preset.ayaz(), Arrivals.poisson(), 10, ARRIVAL_PERIOD, SEED);
    LoadPlan second = LoadPlan.draw(Preset.ayaz(), Arrivals.poisson(), 10, ARRIVAL_PERIOD, SEED);

    assertThat(arrivalOffsets(second)).isEqualTo(arrivalOffsets(first)).isNotEmpty();
    assertThat(second.taskCount()).isEqualTo(first.taskCount());
  }

  @Test
  void arrivals_follow_the_requested_rate() {
    int jobCount =
        LoadPlan.draw(Preset.ayaz(), Arrivals.poisson(), 50, ARRIVAL_PERIOD, SEED).jobs().size();

    assertThat(jobCount).isBetween(4_700, 5_300);
  }

  @Test
  void jobs_of_a_burst_arrive_at_the_same_time() {
    List<Duration> arrivalOffsets =
        Arrivals.bursts(5).draw(50, ARRIVAL_PERIOD, new SplittableRandom(SEED));

    assertThat(arrivalOffsets).hasSizeGreaterThan(1_000);
    assertThat(arrivalOffsets.stream().distinct().count() * 5).isEqualTo(arrivalOffsets.size());
  }

  @Test
  void the_rate_for_a_utilization_keeps_that_share_of_the_slots_busy() {
    Preset singleClass = Preset.ayaz().with(Distribution.constant(4), Distribution.constant(500));

    double jobsPerSecond = singleClass.with(8, List.of(1.0, 0.5)).jobsPerSecond(0.5);

    assertThat(jobsPerSecond).isCloseTo(3.0, within(1e-9));
  }

  @Test
  void a_job_of_the_ideal_schedule_waits_for_the_slots_of_the_previous_job() {
    Preset oneSlot =
        Preset.ayaz()
            .with(Distribution.constant(1), Distribution.constant(100))
            .with(1, List.of(1.0));
    JobClass jobClass = oneSlot.mix().get(0);
    LoadPlan plan =
        new LoadPlan(
            List.of(
                new PlannedJob(0, Duration.ZERO, jobClass, List.of(100)),
                new PlannedJob(1, Duration.ofMillis(40), jobClass, List.of(100))));

    List<Duration> idealJobTimes = IdealLoadSchedule.jobTimes(plan, oneSlot);

    assertThat(idealJobTimes).containsExactly(Duration.ofMillis(100), Duration.ofMillis(160));
  }

  @Test
  void a_task_of_the_ideal_schedule_runs_on_the_slot_where_it_ends_first() {
    Preset unequalSpeeds =
        Preset.ayaz()
            .with(Distribution.constant(1), Distribution.constant(100))
            .with(1, List.of(0.5, 2.0));
    JobClass jobClass = unequalSpeeds.mix().get(0);
    LoadPlan plan =
        new LoadPlan(List.of(new PlannedJob(0, Duration.ZERO, jobClass, List.of(100, 100, 100))));

    List<Duration> idealJobTimes = IdealLoadSchedule.jobTimes(plan, unequalSpeeds);

    assertThat(idealJobTimes).containsExactly(Duration.ofMillis(150));
  }

  @Test
  void refuses_a_step_with_an_unknown_action() {
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

  private static List<Duration> arrivalOffsets(LoadPlan plan) {
    return plan.jobs().stream().map(PlannedJob::arrivalOffset).toList();
  }
}
