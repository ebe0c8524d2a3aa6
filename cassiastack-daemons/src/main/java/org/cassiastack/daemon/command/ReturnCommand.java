package org.cassiastack.daemon.command;

import java.io.PrintStream;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cassiastack.model.CassiaException;

/** Returns a failure domain to service. */
public final class ReturnCommand implements Command {
  @Override
  public String name() {
    return "return";
  }

  @Override
  public void declare(Subparser parser) {
    parser.help("return a failure domain to service");
    DomainChange.declare(parser);
  }

  @Override
  public int run(Namespace arguments, PrintStream out) throws CassiaException {
    return DomainChange.run(arguments, true, out);
  }
}
