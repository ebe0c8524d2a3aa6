package org.cassiastack.bench.minion;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;

/** Runs a stand-in minion until the process ends. */
public final class StandInMinionMain {
  private StandInMinionMain() {}

  /** Starts the minion on the loopback port given in the arguments and prints its URL. */
  public static void main(String[] arguments) throws InterruptedException {
    ArgumentParser parser = ArgumentParsers.newFor("stand-in-minion").build();
    parser
        .addArgument("--port")
        .type(Integer.class)
        .setDefault(0)
        .help("loopback port; 0 stands for any free port");
    int port = parser.parseArgsOrFail(arguments).getInt("port");
    StandInMinion minion =
        StandInMinion.start(Loopback.address(port), TaskBehavior.specifiedByInput());
    System.out.println("url " + minion.url());
    Thread.currentThread().join();
  }
}
