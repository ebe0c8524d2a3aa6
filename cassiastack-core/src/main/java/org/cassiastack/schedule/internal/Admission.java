package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.time.Instant;

/**
 * Admission control: decides from the backlog and the capacity of the workers whether a new job can
 * end in time to be useful. Other jobs are refused at once, so that their callers need not wait.
 */
final class Admission {
  /** Minimum time after which a refused caller is asked to retry. */
  private static final Duration MIN_RETRY_DELAY = Duration.ofSeconds(1);

  private Admission() {}

  /**
   * Returns how long the backlog delays a new job; zero without capacity.
   *
   * @param backlog processor time of the waiting tasks, in thousandths of a core times nanoseconds
   * @param milliCpu processor capacity of the workers, in thousandths of a core at speed 1
   */
  static Duration queueingDelay(double backlog, double milliCpu) {
    return milliCpu <= 0 ? Duration.ZERO : Duration.ofNanos((long) (backlog / milliCpu));
  }

  /** Returns whether a job that starts after a delay still ends in time to be useful. */
  static boolean canEndUsefully(LiveJob job, Duration delay, Instant now) {
    Instant startsAt = now.plus(delay);
    return job.steps.stream().allMatch(s -> job.lateness(s, startsAt) != Lateness.USELESS);
  }

  /** Returns the time after which a refused caller should retry, when the backlog has shrunk. */
  static Duration retryAfter(Duration delay) {
    return delay.compareTo(MIN_RETRY_DELAY) > 0 ? delay : MIN_RETRY_DELAY;
  }
}
