package org.cassiastack.schedule.faults;

import java.util.List;
import java.util.function.BiFunction;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.cassiastack.schedule.faults.ResentJobProperties.Outcome;

/**
 * Plays ranges of seeds with entries that learn late of requests and of lost callers, to search for
 * faults by hand and to compare what is served.
 *
 * <pre>{@code
 * mvn -q test-compile -pl cassiastack-core
 * java -cp ... org.cassiastack.schedule.faults.LateCallerSeeds 600 800 1 500
 * }</pre>
 */
final class LateCallerSeeds {
  private LateCallerSeeds() {}

  /**
   * Runs consecutive seeds; the arguments are the maximum delays of requests and of losses in ms,
   * the first seed and the number of seeds.
   */
  public static void main(String[] arguments) {
    int maxOfRequest = Integer.parseInt(arguments[0]);
    int maxOfLoss = Integer.parseInt(arguments[1]);
    CallerDelays delays = new CallerDelays(maxOfRequest, maxOfLoss);
    long first = Long.parseLong(arguments[2]);
    long count = Long.parseLong(arguments[3]);
    long failed =
        play("random faults", ResentJobProperties::play, delays, first, count)
            + play(
                "agents cut off", ResentJobProperties::playWithCutOffAgents, delays, first, count)
            + play("callers give up", LateCallerProperties::playTimeouts, delays, first, count);
    System.exit(failed == 0 ? 0 : 1);
  }

  private static long play(
      String name,
      BiFunction<Long, CallerDelays, Outcome> play,
      CallerDelays delays,
      long first,
      long count) {
    List<Outcome> played =
        LongStream.range(first, first + count)
            .parallel()
            .boxed()
            .flatMap(seed -> play(name, play, delays, seed))
            .toList();
    long failed = count - played.size();
    System.out.printf(
        "%s, L %d, F %d: %d seeds from %d, %d failed; share served %.4f, unfinished runs %d of %d"
            + " s%n",
        name,
        delays.maxOfRequest(),
        delays.maxOfLoss(),
        count,
        first,
        failed,
        played.stream().mapToDouble(Outcome::servedShare).average().orElse(0),
        played.stream().mapToLong(Outcome::unfinishedRuns).sum(),
        played.stream().mapToLong(Outcome::unfinishedMillis).sum() / 1_000);
    return failed;
  }

  private static Stream<Outcome> play(
      String name, BiFunction<Long, CallerDelays, Outcome> play, CallerDelays delays, long seed) {
    try {
      return Stream.of(play.apply(seed, delays));
    } catch (AssertionError | RuntimeException e) {
      String first = e.toString().lines().findFirst().orElse("");
      System.out.println("seed " + seed + ", " + name + ", failed: " + first);
      return Stream.empty();
    }
  }
}
