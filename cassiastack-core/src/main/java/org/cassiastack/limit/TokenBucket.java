package org.cassiastack.limit;

import java.time.Duration;
import java.time.Instant;

/**
 * A token bucket that admits a whole job while the bucket holds any tokens, even if the number of
 * tokens becomes negative, so that a job larger than the burst is delayed rather than refused
 * forever.
 *
 * <p>In any window of time, the admitted tasks are at most the rate times the length of the window,
 * plus the burst, plus one job.
 *
 * @since 0.1
 */
public final class TokenBucket {
  private double rate;
  private double tokens;
  private Instant lastRefill;

  private TokenBucket(double rate, Instant now) {
    this.rate = rate;
    this.tokens = rate;
    this.lastRefill = now;
  }

  /**
   * Creates a full bucket whose burst is the number of tokens of one second.
   *
   * @param rate tokens per second
   * @param now the current time
   */
  public static TokenBucket full(double rate, Instant now) {
    return new TokenBucket(rate, now);
  }

  /** Changes the rate. Tokens that were taken are not returned; a negative number remains. */
  public void setRate(double newRate, Instant now) {
    refill(now);
    rate = newRate;
    tokens = Math.min(tokens, rate);
  }

  /**
   * Takes tokens if the bucket holds any.
   *
   * @param count number of tokens; may be larger than the number that the bucket holds
   * @param now the current time
   * @return whether the tokens were taken
   */
  public boolean tryAcquire(int count, Instant now) {
    refill(now);
    if (tokens <= 0) {
      return false;
    }
    tokens -= count;
    return true;
  }

  private void refill(Instant now) {
    if (now.isAfter(lastRefill)) {
      double seconds = Duration.between(lastRefill, now).toNanos() / 1e9;
      tokens = Math.min(rate, tokens + rate * seconds);
      lastRefill = now;
    }
  }
}
