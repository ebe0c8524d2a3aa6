package org.cassiastack.daemon;

import org.cassiastack.daemon.command.CommandLine;

/** The command line. */
public final class CassiaMain {
  private CassiaMain() {}

  /** Runs one command and ends the process with its exit code. */
  public static void main(String[] arguments) {
    System.exit(CommandLine.load().run(arguments, System.out, System.err));
  }
}
