package org.cassiastack.schedule.faults;

import java.util.Random;
import java.util.stream.LongStream;

/**
 * Command that runs {@link QueueFaultProperties} for a range of seeds, far more than fit into the
 * time of a build.
 *
 * <pre>{@code
 * java -cp ... org.cassiastack.schedule.faults.QueueSeeds 1000 500
 * }</pre>
 */
final class QueueSeeds {
  private QueueSeeds() {}

  /** Runs consecutive seeds; the arguments are the first seed and the number of seeds. */
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
      QueueFaultProperties.runSimulation(QueueSimulation.create(seed), new Random(seed + 1));
      return true;
    } catch (AssertionError | RuntimeException e) {
      System.out.println("seed " + seed + " failed: " + e);
      return false;
    }
  }
}
