package org.cassiastack.bench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.cassiastack.model.Job;

/**
 * Every job that will arrive, drawn beforehand from a seed.
 *
 * @param jobs the jobs, by time of arrival
 * @since 0.1
 */
public record LoadPlan(List<PlannedJob> jobs) {
  /**
   * Draws a plan.
   *
   * @param preset the mix
   * @param arrivals when jobs arrive
   * @param jobsPerSecond mean rate
   * @param length when arrivals end
   * @param seed equal seeds give equal plans
   */
  public static LoadPlan draw(
      Preset preset, Arrivals arrivals, double jobsPerSecond, Duration length, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<PlannedJob> jobs = new ArrayList<>();
    for (Duration at : arrivals.draw(jobsPerSecond, length, random.split())) {
      JobClass kind = pick(preset.mix(), random.nextDouble());
      jobs.add(new PlannedJob(jobs.size(), at, kind, runTimes(kind, random)));
    }
    return new LoadPlan(List.copyOf(jobs));
  }

  /** Returns the number of tasks of all jobs. */
  public long taskCount() {
    return jobs.stream().mapToLong(j -> j.runMillis().size()).sum();
  }

  private static JobClass pick(List<JobClass> mix, double point) {
    double sum = 0;
    for (JobClass c : mix) {
      sum += c.arrivalShare();
      if (point < sum) {
        return c;
      }
    }
    return mix.get(mix.size() - 1);
  }

  private static List<Integer> runTimes(JobClass kind, SplittableRandom random) {
    long drawn = Math.round(kind.taskCount().next(random));
    int count = (int) Math.max(1, Math.min(drawn, Job.MAX_TASKS));
    List<Integer> times = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      times.add((int) Math.round(kind.runMillis().next(random)));
    }
    return times;
  }
}
