package org.cassiastack.schedule.faults;

import java.util.Random;
import java.util.stream.LongStream;

/**
 * Plays a range of seeds by hand, far more than a build has time for.
 *
 * <pre>{@code
 * java -cp ... org.cassiastack.schedule.faults.QueueSeeds 1000 500
 * }</pre>
 */
final class QueueSeeds {
  private QueueSeeds() {}

  /** Plays as many seeds as the second argument says, from the first one on. */
  public static void main(String[] arguments) {
    long first = Long.parseLong(arguments[0]);
    long count = Long.parseLong(arguments[1]);
    long failed =
        LongStream.range(first, first + count).parallel().filter(seed -> !holds(seed)).count();
    System.out.println(count + " seeds from " + first + ", " + failed + " failed");
    System.exit(failed == 0 ? 0 : 1);
  }

  private static boolean holds(long seed) {
    try {
      QueueFaultProperties.play(new QueueSimulation(seed), new Random(seed + 1));
      return true;
    } catch (AssertionError | RuntimeException e) {
      System.out.println("seed " + seed + " failed: " + e);
      return false;
    }
  }
}
