package org.cassiastack.bench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.cassiastack.model.Job;

/**
 * The jobs of a load run with their arrival times, drawn from a seed before the run starts.
 *
 * @param jobs the jobs, in order of arrival
 * @since 0.1
 */
public record LoadPlan(List<PlannedJob> jobs) {
  /**
   * Draws a plan.
   *
   * @param preset the mix of job classes
   * @param arrivals the arrival process
   * @param jobsPerSecond mean arrival rate
   * @param arrivalPeriod time from the start of the run after which no more jobs arrive
   * @param seed equal seeds give equal plans
   */
  public static LoadPlan draw(
      Preset preset, Arrivals arrivals, double jobsPerSecond, Duration arrivalPeriod, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<PlannedJob> jobs = new ArrayList<>();
    for (Duration arrivalOffset : arrivals.draw(jobsPerSecond, arrivalPeriod, random.split())) {
      JobClass jobClass = pickJobClass(preset.mix(), random.nextDouble());
      jobs.add(
          new PlannedJob(jobs.size(), arrivalOffset, jobClass, drawRunTimes(jobClass, random)));
    }
    return new LoadPlan(List.copyOf(jobs));
  }

  /** Returns the total number of tasks of all jobs. */
  public long taskCount() {
    return jobs.stream().mapToLong(j -> j.runMillis().size()).sum();
  }

  private static JobClass pickJobClass(List<JobClass> mix, double uniformDraw) {
    double cumulativeShare = 0;
    for (JobClass jobClass : mix) {
      cumulativeShare += jobClass.arrivalShare();
      if (uniformDraw < cumulativeShare) {
        return jobClass;
      }
    }
    return mix.get(mix.size() - 1);
  }

  private static List<Integer> drawRunTimes(JobClass jobClass, SplittableRandom random) {
    long drawnCount = Math.round(jobClass.taskCount().next(random));
    int count = (int) Math.max(1, Math.min(drawnCount, Job.MAX_TASKS));
    List<Integer> runMillis = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      runMillis.add((int) Math.round(jobClass.runMillis().next(random)));
    }
    return runMillis;
  }
}
