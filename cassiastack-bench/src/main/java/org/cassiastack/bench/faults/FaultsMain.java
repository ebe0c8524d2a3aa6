package org.cassiastack.bench.faults;

import java.io.IOException;
import java.nio.file.Files;
import java.time.Duration;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;

/** Runs a fault-injection trial with kills and pauses of processes and prints its report. */
public final class FaultsMain {
  private FaultsMain() {}

  /** Runs the trial with the options that the arguments hold. */
  public static void main(String[] arguments) throws IOException {
    ArgumentParser parser = ArgumentParsers.newFor("faults").build();
    parser.addArgument("--jobs").type(Integer.class).setDefault(1_000).help("number of jobs");
    parser.addArgument("--agents").type(Integer.class).setDefault(4).help("number of agents");
    parser
        .addArgument("--seed")
        .type(Long.class)
        .setDefault(1L)
        .help("seed of the random numbers for run times and faults");
    parser.addArgument("--faults").type(Integer.class).setDefault(40).help("number of faults");
    parser
        .addArgument("--fault-seconds")
        .type(Integer.class)
        .setDefault(3)
        .help("planned seconds between the starts of two faults");
    Namespace options = parser.parseArgsOrFail(arguments);
    try (LocalProcesses processes =
        LocalProcesses.start(Files.createTempDirectory("faults"), options.getInt("agents"))) {
      Duration interval = Duration.ofSeconds(options.getInt("fault_seconds"));
      FaultTrial trial = FaultTrial.create(processes, options.getLong("seed"));
      System.out.println(trial.run(options.getInt("jobs"), options.getInt("faults"), interval));
    }
  }
}
