package org.cassiastack.schedule.faults;

import java.util.List;
import java.util.function.LongFunction;
import java.util.stream.LongStream;
import java.util.stream.Stream;

/**
 * Plays ranges of seeds of {@link ResentJobProperties}, to search for faults by hand and to compare
 * what is served and what is thrown away.
 *
 * <pre>{@code
 * mvn -q test-compile -pl cassiastack-core
 * java -cp ... org.cassiastack.schedule.faults.ResentJobSeeds 1 500 3000
 * }</pre>
 */
final class ResentJobSeeds {
  private ResentJobSeeds() {}

  /**
   * Runs consecutive seeds. The arguments are the first seed, the number of seeds and, if messages
   * are held back over cuts, the time in milliseconds after which a silent connection is lost.
   */
  public static void main(String[] arguments) {
    long first = Long.parseLong(arguments[0]);
    long count = Long.parseLong(arguments[1]);
    NetworkProfile network =
        arguments.length > 2
            ? NetworkProfile.holding(Integer.parseInt(arguments[2]))
            : NetworkProfile.dropping();
    List<ResentJobProperties.Outcome> played =
        LongStream.range(first, first + count)
            .parallel()
            .boxed()
            .flatMap(seed -> play(seed, network))
            .toList();
    long failed = 2 * count - played.size();
    System.out.printf(
        "2 plays of %d seeds from %d, %d failed; share served %.4f, unfinished runs %d of %d s%n",
        count,
        first,
        failed,
        played.stream().mapToDouble(ResentJobProperties.Outcome::servedShare).average().orElse(0),
        played.stream().mapToLong(ResentJobProperties.Outcome::unfinishedRuns).sum(),
        played.stream().mapToLong(ResentJobProperties.Outcome::unfinishedMillis).sum() / 1_000);
    System.exit(failed == 0 ? 0 : 1);
  }

  private static Stream<ResentJobProperties.Outcome> play(long seed, NetworkProfile network) {
    return Stream.concat(
        play(seed, "random faults", s -> ResentJobProperties.play(s, network)),
        play(seed, "agents cut off", s -> ResentJobProperties.playWithCutOffAgents(s, network)));
  }

  private static Stream<ResentJobProperties.Outcome> play(
      long seed, String name, LongFunction<ResentJobProperties.Outcome> simulation) {
    try {
      return Stream.of(simulation.apply(seed));
    } catch (AssertionError | RuntimeException e) {
      System.out.println("seed " + seed + ", " + name + ", failed: " + e);
      return Stream.empty();
    }
  }
}
