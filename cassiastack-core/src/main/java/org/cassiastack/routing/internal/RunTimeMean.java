package org.cassiastack.routing.internal;

import java.time.Duration;

/**
 * Exponentially weighted moving mean of observed run times. The first observations have equal
 * weights.
 */
public final class RunTimeMean {
  private final double minNewestWeight;
  private int observations;
  private double seconds;

  /** Creates a mean in which the newest observation has at least the given weight, 0 to 1. */
  public RunTimeMean(double minNewestWeight) {
    this.minNewestWeight = minNewestWeight;
  }

  /** Adds an observed run time to the mean. */
  public void observe(Duration duration) {
    observations++;
    double weight = Math.max(minNewestWeight, 1.0 / observations);
    seconds += weight * (duration.toNanos() / 1e9 - seconds);
  }

  /**
   * Returns the mean in seconds, blended with a prior while there are fewer observations than
   * required. Without any observation the result is the prior alone.
   */
  public double secondsBlendedWith(double priorSeconds, int requiredObservations) {
    double observedWeight =
        Math.min(observations, requiredObservations) / (double) requiredObservations;
    return observedWeight * seconds + (1 - observedWeight) * priorSeconds;
  }

  /** Returns the number of run times that were added. */
  public int observations() {
    return observations;
  }
}
