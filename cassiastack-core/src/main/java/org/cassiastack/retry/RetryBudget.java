package org.cassiastack.retry;

import java.time.Duration;
import java.time.Instant;

/**
 * Bounds retries to a part of the first tries, so that a fault does not multiply the load. A small
 * floor lets a quiet customer retry at all.
 *
 * <pre>{@code
 * budget.firstTry();
 * if (budget.tryRetry(now)) { ... }
 * }</pre>
 *
 * @since 0.1
 */
public final class RetryBudget {
  private final double ratio;
  private final double floorPerSecond;
  private final double most;
  private double tokens;
  private Instant filledAt;

  private RetryBudget(double ratio, double floorPerSecond, double most, Instant now) {
    this.ratio = ratio;
    this.floorPerSecond = floorPerSecond;
    this.most = most;
    this.tokens = most;
    this.filledAt = now;
  }

  /**
   * Makes a full budget.
   *
   * @param ratio retries that each first try earns
   * @param floorPerSecond retries that each second earns
   * @param most largest number of retries that can be saved up
   * @param now the present time
   */
  public static RetryBudget of(double ratio, double floorPerSecond, double most, Instant now) {
    return new RetryBudget(ratio, floorPerSecond, most, now);
  }

  /** Counts a first try. */
  public void recordFirstAttempt() {
    tokens = Math.min(most, tokens + ratio);
  }

  /** Takes one retry from the budget if it is left. */
  public boolean tryAcquire(Instant now) {
    if (now.isAfter(filledAt)) {
      double seconds = Duration.between(filledAt, now).toNanos() / 1e9;
      tokens = Math.min(most, tokens + floorPerSecond * seconds);
      filledAt = now;
    }
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
