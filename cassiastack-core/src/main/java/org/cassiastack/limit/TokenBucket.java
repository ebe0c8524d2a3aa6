package org.cassiastack.limit;

import java.time.Duration;
import java.time.Instant;

/**
 * A rate limit that lets a whole job pass while it holds any token and goes into debt for it, so
 * that a job larger than the burst is delayed and not refused for ever.
 *
 * <p>In any window of time it lets pass at most the rate times the window, the burst and one job.
 *
 * @since 0.1
 */
public final class TokenBucket {
  private double rate;
  private double tokens;
  private Instant filledAt;

  private TokenBucket(double rate, Instant now) {
    this.rate = rate;
    this.tokens = rate;
    this.filledAt = now;
  }

  /**
   * Makes a full bucket whose burst is one second of its rate.
   *
   * @param rate tokens a second
   * @param now the present time
   */
  public static TokenBucket full(double rate, Instant now) {
    return new TokenBucket(rate, now);
  }

  /** Changes the rate; what was taken stays taken. */
  public void setRate(double newRate, Instant now) {
    fill(now);
    rate = newRate;
    tokens = Math.min(tokens, rate);
  }

  /**
   * Takes tokens if there are any.
   *
   * @param count number of tokens; may be more than there are
   * @param now the present time
   * @return whether they were taken
   */
  public boolean tryAcquire(int count, Instant now) {
    fill(now);
    if (tokens <= 0) {
      return false;
    }
    tokens -= count;
    return true;
  }

  private void fill(Instant now) {
    if (now.isAfter(filledAt)) {
      double seconds = Duration.between(filledAt, now).toNanos() / 1e9;
      tokens = Math.min(rate, tokens + rate * seconds);
      filledAt = now;
    }
  }
}
