package org.cassiastack.schedule;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Prints what callers get under the loads of docs/design/hard-load.md: at mean load, with the
 * bursts, and with losses in a burst. Arguments select plays by their names.
 */
final class HardLoadMain {
  private static final long[] SEEDS = {1, 2, 3};
  private static final Duration SECOND = Duration.ofSeconds(1);
  private static final Duration LONG_BURST = Duration.ofSeconds(6);
  private static final Duration SHORT_BURST = Duration.ofSeconds(4);
  private static final Duration TIME = Duration.ofSeconds(9);

  private HardLoadMain() {}

  /** Plays the selected plays, or all of them. */
  public static void main(String[] args) {
    List<String> names = new ArrayList<>();
    for (String customer : List.of("forja", "caroni")) {
      for (String play : List.of("mean", "longest", "shortest", "cut", "storm", "pause")) {
        names.add(customer + "-" + play);
      }
    }
    if (args.length > 0) {
      names.retainAll(List.of(args));
    }
    String reports = names.parallelStream().map(HardLoadMain::play).collect(Collectors.joining());
    System.out.print(reports);
  }

  private static String play(String name) {
    HardLoad load = name.startsWith("forja") ? HardLoad.forja() : HardLoad.caroni();
    HardLoadTally all = HardLoadTally.create(load);
    Map<String, Integer> decisions = new TreeMap<>();
    for (long seed : SEEDS) {
      HardLoadPlay play = HardLoadPlay.start(load, HardLoadPlay.settings(load), seed);
      prepare(play, name);
      all.addAll(play.play(TIME));
      play.decisions().forEach((k, n) -> decisions.merge(k, n, Integer::sum));
    }
    return String.format(Locale.ROOT, "%s  %s%n", all.report(name), decisions);
  }

  private static void prepare(HardLoadPlay play, String name) {
    String kind = name.substring(name.indexOf('-') + 1);
    switch (kind) {
      case "longest" -> play.burst(2, 2.3, SECOND, LONG_BURST);
      case "shortest" -> play.burst(0, 1.8, SECOND, SHORT_BURST);
      case "cut" ->
          play.burst(2, 2.3, SECOND, LONG_BURST).cutOffQuarter(SECOND.multipliedBy(2), LONG_BURST);
      case "storm" ->
          play.burst(2, 2.3, SECOND, LONG_BURST)
              .burst(0, 1.8, SECOND.multipliedBy(3), SHORT_BURST)
              .cutOffQuarter(SECOND.multipliedBy(2), LONG_BURST);
      case "pause" ->
          play.burst(2, 2.3, SECOND, LONG_BURST)
              .pauseLeader(SECOND.multipliedBy(3), Duration.ofMillis(500));
      default -> {}
    }
  }
}
