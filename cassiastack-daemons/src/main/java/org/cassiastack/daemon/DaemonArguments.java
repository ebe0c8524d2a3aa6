package org.cassiastack.daemon;

import java.nio.file.Path;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.cassiastack.daemon.command.ExitCodes;
import org.cassiastack.model.CassiaException;

/** Arguments that both daemons take. */
final class DaemonArguments {
  private DaemonArguments() {}

  /** Returns the settings file, or ends the process when the arguments are wrong. */
  static Path settingsFile(String program, String[] arguments) {
    ArgumentParser parser = ArgumentParsers.newFor(program).build();
    parser.addArgument("--settings").required(true).metavar("FILE").help("settings in INI");
    Namespace parsed = parser.parseArgsOrFail(arguments);
    return Path.of(parsed.getString("settings"));
  }

  /** Prints why the daemon cannot start and ends the process. */
  static void exitWithRefusal(CassiaException e) {
    System.err.println(e.refusal().code().number() + " " + e.refusal().message());
    System.exit(ExitCodes.REFUSED);
  }
}
