package org.cassiastack.daemon.command;

import java.io.PrintStream;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cassiastack.model.CassiaException;

/**
 * One command of the command line client, such as {@code cassia submit}. Commands are loaded by
 * {@link java.util.ServiceLoader}, so that other modules can provide further commands.
 *
 * @since 0.1
 */
public interface Command {
  /** Returns the name of the command, which is its first word on the command line. */
  String name();

  /** Declares the help text and the arguments of the command. */
  void declare(Subparser parser);

  /**
   * Runs the command.
   *
   * @param arguments the parsed arguments
   * @param out stream to which results are printed
   * @return the exit code, one of {@link ExitCodes}
   * @throws CassiaException with the refusal, which the command line client prints
   */
  int run(Namespace arguments, PrintStream out) throws CassiaException;
}
