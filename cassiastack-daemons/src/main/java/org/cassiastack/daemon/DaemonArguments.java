package org.cassiastack.daemon;

import java.nio.file.Path;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.cassiastack.daemon.command.ExitCodes;
import org.cassiastack.model.CassiaException;

/** Command line arguments of the agent and entry daemons. */
final class DaemonArguments {
  private DaemonArguments() {}

  /** Returns the path of the settings file, or exits the process if the arguments are invalid. */
  static Path settingsFile(String program, String[] arguments) {
    ArgumentParser parser = ArgumentParsers.newFor(program).build();
    parser
        .addArgument("--settings")
        .required(true)
        .metavar("FILE")
        .help("settings file in INI format");
    Namespace parsed = parser.parseArgsOrFail(arguments);
    return Path.of(parsed.getString("settings"));
  }

  /** Prints the reason why the daemon cannot start and exits the process. */
  static void exitWithRefusal(CassiaException e) {
    System.err.println(e.refusal().code().number() + " " + e.refusal().message());
    System.exit(ExitCodes.REFUSED);
  }
}
