package org.cassiastack.daemon.command;

import java.io.PrintStream;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cassiastack.model.CassiaException;

/**
 * One word of the command line, such as {@code cassia submit}. Commands are found by {@link
 * java.util.ServiceLoader}, so that other modules can bring their own.
 *
 * @since 0.1
 */
public interface Command {
  /** Returns the word. */
  String name();

  /** Declares help and arguments. */
  void declare(Subparser parser);

  /**
   * Runs the command.
   *
   * @param arguments the parsed arguments
   * @param out where results go
   * @return the exit code, one of {@link ExitCodes}
   * @throws CassiaException with the refusal to print
   */
  int run(Namespace arguments, PrintStream out) throws CassiaException;
}
