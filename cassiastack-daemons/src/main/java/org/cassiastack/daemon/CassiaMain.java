package org.cassiastack.daemon;

import org.cassiastack.daemon.command.CommandLine;

/** Main class of the command line client {@code cassia}. */
public final class CassiaMain {
  private CassiaMain() {}

  /** Runs one command and exits the process with the exit code of the command. */
  public static void main(String[] arguments) {
    System.exit(CommandLine.load().run(arguments, System.out, System.err));
  }
}
