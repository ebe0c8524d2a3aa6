package org.cassiastack.schedule.faults;

import java.util.OptionalDouble;
import java.util.stream.LongStream;

/**
 * Plays ranges of seeds of {@link HeldMessageProperties}, to search for faults by hand.
 *
 * <pre>{@code
 * mvn -q test-compile -pl cassiastack-core
 * java -cp ... org.cassiastack.schedule.faults.HeldMessageSeeds 1 500
 * }</pre>
 */
final class HeldMessageSeeds {
  private HeldMessageSeeds() {}

  /** Runs consecutive seeds; the arguments are the first seed and the number of seeds. */
  public static void main(String[] arguments) {
    long first = Long.parseLong(arguments[0]);
    long count = Long.parseLong(arguments[1]);
    double[] shares =
        LongStream.range(first, first + count)
            .parallel()
            .mapToObj(HeldMessageSeeds::play)
            .filter(OptionalDouble::isPresent)
            .mapToDouble(OptionalDouble::getAsDouble)
            .toArray();
    double sum = 0;
    for (double share : shares) {
      sum += share;
    }
    long failed = count - shares.length;
    System.out.printf(
        "%d seeds from %d, %d failed; share served %.4f%n",
        count, first, failed, shares.length == 0 ? 0 : sum / shares.length);
    System.exit(failed == 0 ? 0 : 1);
  }

  private static OptionalDouble play(long seed) {
    try {
      return OptionalDouble.of(HeldMessageProperties.play(seed));
    } catch (AssertionError | RuntimeException e) {
      System.out.println("seed " + seed + " failed: " + e);
      return OptionalDouble.empty();
    }
  }
}
