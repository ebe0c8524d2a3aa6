package org.cassiastack.daemon.command;

import java.io.PrintStream;
import java.nio.file.Path;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cassiastack.configuration.Configuration;
import org.cassiastack.daemon.settings.ConfigurationFiles;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.Revision;

/** Checks a set of declarative files without applying it. */
public final class CheckCommand implements Command {
  @Override
  public String name() {
    return "check";
  }

  @Override
  public void declare(Subparser parser) {
    parser.help("check a folder of declarative files");
    parser.addArgument("folder").metavar("DIR").help("folder with .ini files");
  }

  @Override
  public int run(Namespace arguments, PrintStream out) throws CassiaException {
    Path folder = Path.of(arguments.getString("folder"));
    Configuration c =
        ConfigurationFiles.parse(ConfigurationFiles.readFolder(folder), Revision.NONE);
    out.printf(
        "valid: %d services, %d failure domains, %d customers%n",
        c.services().size(), c.failureDomains().size(), c.customers().size());
    return ExitCodes.OK;
  }
}
