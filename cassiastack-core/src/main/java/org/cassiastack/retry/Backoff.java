package org.cassiastack.retry;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter: each delay is drawn uniformly between zero and a bound that
 * doubles with each retry, up to a maximum.
 *
 * @since 0.1
 */
public final class Backoff {
  private static final int MAX_DOUBLINGS = 30;

  private final Duration initialBound;
  private final Duration maxDelay;
  private final RandomGenerator random;

  private Backoff(Duration initialBound, Duration maxDelay, RandomGenerator random) {
    this.initialBound = initialBound;
    this.maxDelay = maxDelay;
    this.random = random;
  }

  /**
   * Creates a backoff.
   *
   * @param initialBound upper bound of the delay before the first retry
   * @param maxDelay upper bound of every delay
   * @param random source of randomness for the jitter
   */
  public static Backoff of(Duration initialBound, Duration maxDelay, RandomGenerator random) {
    return new Backoff(initialBound, maxDelay, random);
  }

  /** Returns the delay before a retry; the first retry has number 0. */
  public Duration delayBefore(int retry) {
    double bound = initialBound.toNanos() * (double) (1L << Math.min(retry, MAX_DOUBLINGS));
    double capped = Math.min(bound, (double) maxDelay.toNanos());
    return Duration.ofNanos((long) (capped * random.nextDouble()));
  }
}
