package org.cassiastack.bench.load;

import java.util.SplittableRandom;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.Refusals;

/**
 * A distribution that load is drawn from.
 *
 * <pre>{@code
 * Distribution d = Distribution.parse("uniform:50:1000");
 * }</pre>
 *
 * @since 0.1
 */
public interface Distribution {
  /** Draws a value. */
  double next(SplittableRandom random);

  /** Returns the mean. */
  double mean();

  /** Always the same value. */
  static Distribution constant(double value) {
    return of(value, r -> value);
  }

  /** Every value between two bounds alike. */
  static Distribution uniform(double least, double most) {
    return of((least + most) / 2, r -> least + (most - least) * r.nextDouble());
  }

  /** Exponential with a mean. */
  static Distribution exponential(double mean) {
    return of(mean, r -> -mean * Math.log(1 - r.nextDouble()));
  }

  /** One value mostly and another now and then, as with tasks of which a few run for long. */
  static Distribution mixed(Distribution mostly, Distribution seldom, double seldomShare) {
    double mean = mostly.mean() * (1 - seldomShare) + seldom.mean() * seldomShare;
    return of(mean, r -> (r.nextDouble() < seldomShare ? seldom : mostly).next(r));
  }

  /**
   * Reads {@code 50}, {@code uniform:50:1000} or {@code exponential:200}.
   *
   * @throws CassiaException when the text is none of these
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
            "distribution '" + text + "'; allowed: NUMBER, uniform:LEAST:MOST, exponential:MEAN"));
  }

  /** Draws one value. */
  @FunctionalInterface
  interface Draw {
    /** Draws a value. */
    double next(SplittableRandom random);
  }
}
