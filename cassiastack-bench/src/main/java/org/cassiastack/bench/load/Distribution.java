package org.cassiastack.bench.load;

import java.util.SplittableRandom;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.Refusals;

/**
 * A probability distribution from which job sizes, run times and gaps between jobs are drawn.
 *
 * <pre>{@code
 * Distribution d = Distribution.parse("uniform:50:1000");
 * }</pre>
 *
 * @since 0.1
 */
public interface Distribution {
  /** Draws the next value. */
  double next(SplittableRandom random);

  /** Returns the mean of the distribution. */
  double mean();

  /** Returns a distribution with a single value. */
  static Distribution constant(double value) {
    return of(value, random -> value);
  }

  /**
   * Returns the uniform distribution between two bounds.
   *
   * @param min lower bound, included
   * @param max upper bound, excluded
   */
  static Distribution uniform(double min, double max) {
    return of((min + max) / 2, random -> min + (max - min) * random.nextDouble());
  }

  /** Returns the exponential distribution with a mean. */
  static Distribution exponential(double mean) {
    return of(mean, random -> -mean * Math.log(1 - random.nextDouble()));
  }

  /**
   * Returns a mixture of two distributions, such as run times of which a few are long.
   *
   * @param common the distribution of most values
   * @param rare the distribution of the other values
   * @param rareShare probability that a value is drawn from {@code rare}, from 0 to 1
   */
  static Distribution mixed(Distribution common, Distribution rare, double rareShare) {
    double mean = common.mean() * (1 - rareShare) + rare.mean() * rareShare;
    return of(mean, random -> (random.nextDouble() < rareShare ? rare : common).next(random));
  }

  /**
   * Parses {@code 50}, {@code uniform:50:1000} or {@code exponential:200}.
   *
   * @throws CassiaException when the text has another form
   */
  static Distribution parse(String text) throws CassiaException {
    String[] parts = text.split(":", -1);
    try {
      if (parts.length == 1) {
        return constant(Double.parseDouble(parts[0]));
      }
      if (parts[0].equals("uniform") && parts.length == 3) {
        return uniform(Double.parseDouble(parts[1]), Double.parseDouble(parts[2]));
      }
      if (parts[0].equals("exponential") && parts.length == 2) {
        return exponential(Double.parseDouble(parts[1]));
      }
    } catch (NumberFormatException e) {
      throw malformed(text);
    }
    throw malformed(text);
  }

  private static Distribution of(double mean, Draw draw) {
    return new Distribution() {
      @Override
      public double next(SplittableRandom random) {
        return draw.next(random);
      }

      @Override
      public double mean() {
        return mean;
      }
    };
  }

  private static CassiaException malformed(String text) {
    return CassiaException.of(
        Refusals.malformed(
            "distribution '" + text + "'; allowed: NUMBER, uniform:MIN:MAX, exponential:MEAN"));
  }

  /** Function that draws the values of a distribution. */
  @FunctionalInterface
  interface Draw {
    /** Draws a value. */
    double next(SplittableRandom random);
  }
}
