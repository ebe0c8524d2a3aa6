package org.cassiastack.bench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Decides when jobs arrive, whatever becomes of the ones before.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface Arrivals {
  /**
   * Draws the times of arrival, in order.
   *
   * @param jobsPerSecond mean rate
   * @param length when arrivals end
   * @param random source of randomness
   */
  List<Duration> draw(double jobsPerSecond, Duration length, SplittableRandom random);

  /** Independent arrivals: exponential gaps. */
  static Arrivals poisson() {
    return (rate, length, random) -> {
      List<Duration> times = new ArrayList<>();
      Distribution gap = Distribution.exponential(1 / rate);
      for (double t = gap.next(random); t < seconds(length); t += gap.next(random)) {
        times.add(ofSeconds(t));
      }
      return times;
    };
  }

  /** Groups of jobs that arrive at one moment; the groups are independent of each other. */
  static Arrivals bursts(int size) {
    return (rate, length, random) -> {
      List<Duration> times = new ArrayList<>();
      for (Duration t : poisson().draw(rate / size, length, random)) {
        for (int i = 0; i < size; i++) {
          times.add(t);
        }
      }
      return times;
    };
  }

  private static double seconds(Duration d) {
    return d.toNanos() / 1e9;
  }

  private static Duration ofSeconds(double seconds) {
    return Duration.ofNanos((long) (seconds * 1e9));
  }
}
