package org.cassiastack.routing.internal;

import java.time.Duration;

/** Moving mean of observed times; the first observations weigh alike. */
public final class RunTimeMean {
  private final double weightOfNewest;
  private int observations;
  private double seconds;

  /** Makes a mean in which the newest observation weighs at least so much. */
  public RunTimeMean(double weightOfNewest) {
    this.weightOfNewest = weightOfNewest;
  }

  /** Adds an observation. */
  public void observe(Duration took) {
    observations++;
    double weight = Math.max(weightOfNewest, 1.0 / observations);
    seconds += weight * (took.toNanos() / 1e9 - seconds);
  }

  /**
   * Returns the mean, or a value given for want of observations, or a mixture while they are few.
   */
  public double secondsBlendedWith(double prior, int enough) {
    double own = Math.min(observations, enough) / (double) enough;
    return own * seconds + (1 - own) * prior;
  }

  /** Returns the number of observations. */
  public int observations() {
    return observations;
  }
}
