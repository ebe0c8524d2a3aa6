package org.cassiastack.schedule.faults;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.LongStream;

/**
 * Command that plays {@link RestartedMinionFaults} for a range of seeds, and counts the violations
 * by their kind.
 *
 * <pre>{@code
 * java -cp ... org.cassiastack.schedule.faults.RestartedMinionSeeds late_holds 1 400
 * }</pre>
 */
final class RestartedMinionSeeds {
  private static final String HELD = "none";
  private static final int MAX_SHOWN_LENGTH = 1_000;
  private static final Map<String, String> VIOLATIONS =
      Map.of(
          "is already running", "two runs at once",
          "an end was acknowledged", "start after an acknowledged end",
          "no free capacity", "over capacity",
          "as often as allowed", "start after the last permitted failure",
          "ms: starts of", "start before the acknowledgement of an end",
          "start of a refused job", "start of a refused job",
          "ms: job", "job without its end");

  private RestartedMinionSeeds() {}

  /** Plays consecutive seeds; the arguments are the faults, the first seed and the number. */
  public static void main(String[] arguments) {
    RestartedMinionFaults faults =
        RestartedMinionFaults.valueOf(arguments[0].toUpperCase(Locale.ROOT));
    long first = Long.parseLong(arguments[1]);
    long count = Long.parseLong(arguments[2]);
    Map<String, Long> played =
        LongStream.range(first, first + count)
            .parallel()
            .mapToObj(seed -> violation(faults, seed))
            .collect(Collectors.groupingBy(v -> v, TreeMap::new, Collectors.counting()));
    long failed = count - played.getOrDefault(HELD, 0L);
    played.remove(HELD);
    System.out.println(
        faults + ": " + count + " seeds from " + first + ", " + failed + " failed " + played);
    System.exit(failed == 0 ? 0 : 1);
  }

  private static String violation(RestartedMinionFaults faults, long seed) {
    try {
      faults.play(seed);
      return HELD;
    } catch (AssertionError | RuntimeException e) {
      String text = String.valueOf(e);
      String kind =
          VIOLATIONS.entrySet().stream()
              .filter(v -> text.contains(v.getKey()))
              .map(Map.Entry::getValue)
              .findFirst()
              .orElse("other");
      String line = text.replaceAll("\\s+", " ");
      String shown = line.substring(0, Math.min(MAX_SHOWN_LENGTH, line.length()));
      System.out.println("seed " + seed + " failed, " + kind + ": " + shown);
      return kind;
    }
  }
}
