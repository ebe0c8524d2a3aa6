package org.cassiastack.retry;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter: each wait is drawn evenly between zero and a bound that
 * doubles with each attempt.
 *
 * @since 0.1
 */
public final class Backoff {
  private static final int MOST_DOUBLINGS = 30;

  private final Duration first;
  private final Duration longest;
  private final RandomGenerator random;

  private Backoff(Duration first, Duration longest, RandomGenerator random) {
    this.first = first;
    this.longest = longest;
    this.random = random;
  }

  /**
   * Makes a backoff.
   *
   * @param first bound of the first wait
   * @param longest bound of every wait
   * @param random source of the jitter
   */
  public static Backoff of(Duration first, Duration longest, RandomGenerator random) {
    return new Backoff(first, longest, random);
  }

  /** Returns the wait before a retry; the first has number 0. */
  public Duration delayBefore(int retry) {
    double bound = first.toNanos() * (double) (1L << Math.min(retry, MOST_DOUBLINGS));
    double capped = Math.min(bound, (double) longest.toNanos());
    return Duration.ofNanos((long) (capped * random.nextDouble()));
  }
}
