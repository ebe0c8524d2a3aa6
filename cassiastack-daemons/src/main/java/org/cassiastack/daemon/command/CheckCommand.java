package org.cassiastack.daemon.command;

import java.io.PrintStream;
import java.nio.file.Path;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cassiastack.configuration.Configuration;
import org.cassiastack.daemon.settings.ConfigurationFiles;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.Revision;

/** Validates the declarative files in a folder without applying them. */
public final class CheckCommand implements Command {
  @Override
  public String name() {
    return "check";
  }

  @Override
  public void declare(Subparser parser) {
    parser.help("validate the declarative files in a folder without applying them");
    parser.addArgument("folder").metavar("DIR").help("folder that contains .ini files");
  }

  @Override
  public int run(Namespace arguments, PrintStream out) throws CassiaException {
    Path folder = Path.of(arguments.getString("folder"));
    Configuration configuration =
        ConfigurationFiles.parse(ConfigurationFiles.readFolder(folder), Revision.NONE);
    out.printf(
        "valid: %d services, %d failure domains, %d customers%n",
        configuration.services().size(),
        configuration.failureDomains().size(),
        configuration.customers().size());
    return ExitCodes.OK;
  }
}
