package org.cassiastack.retry;

import java.time.Duration;
import java.time.Instant;

/**
 * Limits retries to a fraction of the first attempts, so that a fault does not multiply the load. A
 * small rate of retries is allowed in any case, so that a customer with few attempts can retry.
 *
 * <pre>{@code
 * budget.recordFirstAttempt();
 * if (budget.tryAcquire(now)) { ... }
 * }</pre>
 *
 * @since 0.1
 */
public final class RetryBudget {
  private final double ratio;
  private final double floorPerSecond;
  private final double maxTokens;
  private double tokens;
  private Instant lastRefill;

  private RetryBudget(double ratio, double floorPerSecond, double maxTokens, Instant now) {
    this.ratio = ratio;
    this.floorPerSecond = floorPerSecond;
    this.maxTokens = maxTokens;
    this.tokens = maxTokens;
    this.lastRefill = now;
  }

  /**
   * Creates a full budget.
   *
   * @param ratio number of retries that each first attempt adds to the budget
   * @param floorPerSecond number of retries that each second adds to the budget
   * @param maxTokens maximum number of retries that the budget can hold
   * @param now the current time
   */
  public static RetryBudget of(double ratio, double floorPerSecond, double maxTokens, Instant now) {
    return new RetryBudget(ratio, floorPerSecond, maxTokens, now);
  }

  /** Counts a first attempt. */
  public void recordFirstAttempt() {
    tokens = Math.min(maxTokens, tokens + ratio);
  }

  /** Takes one retry from the budget if one is left; returns whether the retry may be made. */
  public boolean tryAcquire(Instant now) {
    if (now.isAfter(lastRefill)) {
      double seconds = Duration.between(lastRefill, now).toNanos() / 1e9;
      tokens = Math.min(maxTokens, tokens + floorPerSecond * seconds);
      lastRefill = now;
    }
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
