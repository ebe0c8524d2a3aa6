package org.cassiastack.bench.placing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.cassiastack.queue.StepSpec;

/**
 * Measures the time that a leader takes for the report of a run's end, including the placing of the
 * next task, with a backlog of thousands of jobs of one demand, of many demands, and behind jobs
 * that no worker can take.
 *
 * @since 0.2
 */
public final class PlacingRoundsMain {
  private static final int WORKERS = 60;
  private static final int STEPS = 8_000;

  /** Short, so that no job is refused for the backlog in front of it. */
  private static final Duration ESTIMATED_RUN_TIME = Duration.ofMillis(1);

  private static final int WARM_UP_REPORTS = 1_000;
  private static final int MEASURED_REPORTS = 2_000;
  private static final double NANOS_PER_MICRO = 1_000;

  private PlacingRoundsMain() {}

  /** Runs the measurement and prints one line for each kind of backlog. */
  public static void main(String[] args) {
    measure("one_demand", steps(1, 0));
    measure("200_demands", steps(200, 0));
    measure("one_demand_behind_2000_hopeless_jobs", steps(1, 2_000));
    measure("hopeless_jobs_only", steps(1, STEPS));
  }

  private static void measure(String backlog, List<StepSpec> steps) {
    BusyLeader leader = BusyLeader.withWorkers(WORKERS);
    leader.submit(steps);
    endRuns(leader, WARM_UP_REPORTS);
    long start = System.nanoTime();
    endRuns(leader, MEASURED_REPORTS);
    double micros = (System.nanoTime() - start) / NANOS_PER_MICRO / MEASURED_REPORTS;
    System.out.printf(
        "backlog=%s jobs=%d workers=%d micros_per_report=%.1f%n",
        backlog, steps.size(), WORKERS, micros);
  }

  private static void endRuns(BusyLeader leader, int count) {
    for (int i = 0; i < count; i++) {
      leader.endOldestRun(i % WORKERS);
    }
  }

  /** Returns steps of tasks that need a fifth of a worker, after steps that no worker can take. */
  private static List<StepSpec> steps(int demands, int hopeless) {
    List<StepSpec> steps = new ArrayList<>();
    for (int i = 0; i < STEPS; i++) {
      String label = i < hopeless ? "unknown" : "";
      steps.add(
          new StepSpec(1, 3_000, 64 + i % demands, 0, ESTIMATED_RUN_TIME, List.of(), label, "", 0));
    }
    return steps;
  }
}
