package org.cassiastack.daemon.command;

import java.io.PrintStream;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cassiastack.model.CassiaException;

/** Takes a failure domain out of service, so that no more tasks start in it. */
public final class DrainCommand implements Command {
  @Override
  public String name() {
    return "drain";
  }

  @Override
  public void declare(Subparser parser) {
    parser.help("take a failure domain out of service");
    DomainChange.declare(parser);
  }

  @Override
  public int run(Namespace arguments, PrintStream out) throws CassiaException {
    return DomainChange.run(arguments, false, out);
  }
}
