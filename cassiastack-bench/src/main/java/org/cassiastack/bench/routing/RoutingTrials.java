package org.cassiastack.bench.routing;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cassiastack.routing.MinionPickers;

/** Prints a Markdown table of the pickers under each scenario, in virtual time. */
public final class RoutingTrials {
  private static final long SEED = 20_261_204;
  private static final int COORDINATORS = 3;

  private RoutingTrials() {}

  /** Runs every trial; the seed may be given as the only argument. */
  public static void main(String[] args) {
    PrintStream out = System.out;
    out.println(
        "| scenario | picker | p50 | p99 | wasted/task | goodput | slowest refusal ms | answers |");
    out.println("|---|---|---|---|---|---|---|---|");
    long seed = args.length == 0 ? SEED : Long.parseLong(args[0]);
    for (Scenario s : scenarios(seed)) {
      pickers().forEach((name, p) -> out.println(row(s, name, RoutingSimulation.run(s, p))));
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
    Map<String, RoutingSimulation.PickerFactory> all = new LinkedHashMap<>();
    all.put("random", MinionPickers::random);
    all.put("round robin", r -> MinionPickers.roundRobin());
    all.put("least loaded", r -> MinionPickers.leastLoaded());
    all.put("two choices", MinionPickers::twoChoices);
    all.put("least finish", r -> MinionPickers.earliestFinish());
    all.put("patient two choices", r -> MinionPickers.avoidingSlow(MinionPickers.twoChoices(r)));
    all.put(
        "patient least finish", r -> MinionPickers.avoidingSlow(MinionPickers.earliestFinish()));
    return all;
  }

  private static String row(Scenario s, String picker, SimulationResult o) {
    return "| %s | %s | %.2f | %.2f | %.3f | %.3f | %d | %s |"
        .formatted(
            s.name(),
            picker,
            o.jobTimeRatio(0.5),
            o.jobTimeRatio(0.99),
            o.wastedMessagesPerTask(),
            o.goodput(),
            o.maxRefusalTime().toMillis(),
            o.codes());
  }
}
