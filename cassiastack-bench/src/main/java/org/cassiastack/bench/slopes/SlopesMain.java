package org.cassiastack.bench.slopes;

import java.util.Map;
import java.util.TreeMap;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;

/** Measures how one cost grows and prints the results. */
public final class SlopesMain {
  private static final Map<String, Slope> SLOPES =
      new TreeMap<>(
          Map.of(
              "agents", new AgentsSlope(),
              "tasks", new TasksSlope(),
              "jobs", new JobsSlope(),
              "starts", new StartsSlope(),
              "configuration", new ConfigurationSlope()));

  private SlopesMain() {}

  /** Runs the measurement that the argument names, such as {@code agents}. */
  public static void main(String[] arguments) throws Exception {
    ArgumentParser parser = ArgumentParsers.newFor("slopes").build();
    parser.addArgument("slope").choices(SLOPES.keySet()).help("name of the cost to measure");
    String name = parser.parseArgsOrFail(arguments).getString("slope");
    Slope slope = SLOPES.get(name);
    if (slope != null) {
      slope.measure(System.out);
    }
    System.exit(0);
  }
}
