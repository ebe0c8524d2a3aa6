package org.cassiastack.bench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Arrival process of an open loop: decides when jobs arrive, independently of earlier answers.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface Arrivals {
  /**
   * Draws arrival times in ascending order, as offsets from the start of the run.
   *
   * @param jobsPerSecond mean arrival rate
   * @param arrivalPeriod time from the start of the run after which no more jobs arrive
   * @param random source of randomness
   */
  List<Duration> draw(double jobsPerSecond, Duration arrivalPeriod, SplittableRandom random);

  /** Returns a Poisson process: independent arrivals with exponential gaps. */
  static Arrivals poisson() {
    return (jobsPerSecond, arrivalPeriod, random) -> {
      List<Duration> times = new ArrayList<>();
      Distribution gap = Distribution.exponential(1 / jobsPerSecond);
      for (double time = gap.next(random);
          time < toSeconds(arrivalPeriod);
          time += gap.next(random)) {
        times.add(ofSeconds(time));
      }
      return times;
    };
  }

  /**
   * Returns a process in which jobs arrive in groups; the groups form a Poisson process.
   *
   * @param size number of jobs that arrive at the same time
   */
  static Arrivals bursts(int size) {
    return (jobsPerSecond, arrivalPeriod, random) -> {
      List<Duration> times = new ArrayList<>();
      for (Duration time : poisson().draw(jobsPerSecond / size, arrivalPeriod, random)) {
        for (int i = 0; i < size; i++) {
          times.add(time);
        }
      }
      return times;
    };
  }

  private static double toSeconds(Duration duration) {
    return duration.toNanos() / 1e9;
  }

  private static Duration ofSeconds(double seconds) {
    return Duration.ofNanos((long) (seconds * 1e9));
  }
}
