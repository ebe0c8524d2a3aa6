package org.cassiastack.bench.routing;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cassiastack.routing.MinionPickers;

/** Simulates each minion picker under each scenario and prints the results as a Markdown table. */
public final class RoutingTrials {
  private static final long DEFAULT_SEED = 20_261_204;
  private static final int COORDINATORS = 3;

  private RoutingTrials() {}

  /** Runs all simulations; the optional argument is the seed of all scenarios. */
  public static void main(String[] args) {
    PrintStream out = System.out;
    out.println(
        "| scenario | picker | p50 | p99 | wasted/task | goodput | slowest refusal ms | answers |");
    out.println("|---|---|---|---|---|---|---|---|");
    long seed = args.length == 0 ? DEFAULT_SEED : Long.parseLong(args[0]);
    for (Scenario scenario : scenarios(seed)) {
      pickers()
          .forEach(
              (name, picker) ->
                  out.println(formatRow(scenario, name, RoutingSimulation.run(scenario, picker))));
    }
  }

  private static List<Scenario> scenarios(long seed) {
    return List.of(
        new Scenario("load 50 %", 0.5, COORDINATORS, false, 0, seed),
        new Scenario("load 80 %", 0.8, COORDINATORS, false, 0, seed),
        new Scenario("load 95 %", 0.95, COORDINATORS, false, 0, seed),
        new Scenario("load 200 %", 2, COORDINATORS, false, 0, seed),
        new Scenario("domain out, load 50 %", 0.5, COORDINATORS, true, 0, seed),
        new Scenario("2 of 10 fail, load 50 %", 0.5, COORDINATORS, false, 2, seed),
        new Scenario("9 of 10 fail, load 50 %", 0.5, COORDINATORS, false, 9, seed));
  }

  private static Map<String, RoutingSimulation.PickerFactory> pickers() {
    Map<String, RoutingSimulation.PickerFactory> pickers = new LinkedHashMap<>();
    // The labels match those of published tables. "least finish" is the picker of the earliest
    // finish time; "patient" marks pickers that avoid slow minions.
    pickers.put("random", MinionPickers::random);
    pickers.put("round robin", random -> MinionPickers.roundRobin());
    pickers.put("least loaded", random -> MinionPickers.leastLoaded());
    pickers.put("two choices", MinionPickers::twoChoices);
    pickers.put("least finish", random -> MinionPickers.earliestFinish());
    pickers.put(
        "patient two choices",
        random -> MinionPickers.avoidingSlow(MinionPickers.twoChoices(random)));
    pickers.put(
        "patient least finish",
        random -> MinionPickers.avoidingSlow(MinionPickers.earliestFinish()));
    return pickers;
  }

  private static String formatRow(Scenario scenario, String picker, SimulationResult result) {
    return "| %s | %s | %.2f | %.2f | %.3f | %.3f | %d | %s |"
        .formatted(
            scenario.name(),
            picker,
            result.jobTimeRatio(0.5),
            result.jobTimeRatio(0.99),
            result.wastedMessagesPerTask(),
            result.goodput(),
            result.maxRefusalTime().toMillis(),
            result.codes());
  }
}
