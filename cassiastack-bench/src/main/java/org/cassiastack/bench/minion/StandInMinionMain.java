package org.cassiastack.bench.minion;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;

/** Runs a stand-in minion until the process is ended. */
public final class StandInMinionMain {
  private StandInMinionMain() {}

  /** Starts the minion on the loopback port that the arguments name. */
  public static void main(String[] arguments) throws InterruptedException {
    ArgumentParser parser = ArgumentParsers.newFor("stand-in-minion").build();
    parser.addArgument("--port").type(Integer.class).setDefault(0).help("loopback port");
    int port = parser.parseArgsOrFail(arguments).getInt("port");
    StandInMinion minion =
        StandInMinion.start(Loopback.address(port), TaskBehavior.specifiedByInput());
    System.out.println("url " + minion.url());
    Thread.currentThread().join();
  }
}
