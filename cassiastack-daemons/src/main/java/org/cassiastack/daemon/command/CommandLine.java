package org.cassiastack.daemon.command;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.ServiceLoader;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.cassiastack.model.CassiaException;
import reactor.core.Exceptions;

/**
 * The command line client: parses the arguments and runs one command.
 *
 * @since 0.1
 */
public final class CommandLine {
  private static final String COMMAND = "command";

  private final List<Command> commands;

  private CommandLine(List<Command> commands) {
    this.commands = commands;
  }

  /** Creates a command line client with all commands on the class path. */
  public static CommandLine load() {
    List<Command> all = new ArrayList<>();
    ServiceLoader.load(Command.class).forEach(all::add);
    all.sort(Comparator.comparing(Command::name));
    return new CommandLine(all);
  }

  /**
   * Runs the command that the first argument names.
   *
   * @param out stream to which results are printed
   * @param err stream to which refusals and errors are printed
   * @return the exit code, one of {@link ExitCodes}
   */
  public int run(String[] arguments, PrintStream out, PrintStream err) {
    ArgumentParser parser =
        ArgumentParsers.newFor("cassia")
            .build()
            .description("Client of cassiastack for callers and operators.");
    Subparsers subparsers = parser.addSubparsers().dest(COMMAND).metavar("COMMAND");
    commands.forEach(c -> c.declare(subparsers.addParser(c.name())));
    try {
      Namespace parsed = parser.parseArgs(arguments);
      return find(parsed.getString(COMMAND)).run(parsed, out);
    } catch (ArgumentParserException e) {
      parser.handleError(e);
      return ExitCodes.USAGE;
    } catch (CassiaException e) {
      err.println(describe(e));
      return ExitCodes.REFUSED;
    } catch (RuntimeException e) {
      return printFailure(Exceptions.unwrap(e), err);
    }
  }

  private static int printFailure(Throwable cause, PrintStream err) {
    if (cause instanceof CassiaException e) {
      err.println(describe(e));
      return ExitCodes.REFUSED;
    }
    err.println("Cannot reach the server: " + cause.getMessage() + ".");
    return ExitCodes.UNREACHABLE;
  }

  private static String describe(CassiaException e) {
    return e.refusal().code().number() + " " + e.refusal().code() + ": " + e.refusal().message();
  }

  private Command find(String name) {
    return commands.stream().filter(c -> c.name().equals(name)).findFirst().orElseThrow();
  }
}
