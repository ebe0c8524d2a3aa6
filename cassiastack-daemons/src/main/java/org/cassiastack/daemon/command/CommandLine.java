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
 * Parses the command line and runs one command.
 *
 * @since 0.1
 */
public final class CommandLine {
  private static final String COMMAND = "command";

  private final List<Command> commands;

  private CommandLine(List<Command> commands) {
    this.commands = commands;
  }

  /** Makes a command line of every command on the class path. */
  public static CommandLine load() {
    List<Command> all = new ArrayList<>();
    ServiceLoader.load(Command.class).forEach(all::add);
    all.sort(Comparator.comparing(Command::name));
    return new CommandLine(all);
  }

  /**
   * Runs the command that the arguments name.
   *
   * @return the exit code
   */
  public int run(String[] arguments, PrintStream out, PrintStream err) {
    ArgumentParser parser =
        ArgumentParsers.newFor("cassia").build().description("Operates and uses cassiastack.");
    Subparsers words = parser.addSubparsers().dest(COMMAND).metavar("COMMAND");
    commands.forEach(c -> c.declare(words.addParser(c.name())));
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
      return failed(Exceptions.unwrap(e), err);
    }
  }

  private static int failed(Throwable cause, PrintStream err) {
    if (cause instanceof CassiaException refused) {
      err.println(describe(refused));
      return ExitCodes.REFUSED;
    }
    err.println("Cannot reach the other side: " + cause.getMessage() + ".");
    return ExitCodes.UNREACHABLE;
  }

  private static String describe(CassiaException e) {
    return e.refusal().code().number() + " " + e.refusal().code() + ": " + e.refusal().message();
  }

  private Command find(String name) {
    return commands.stream().filter(c -> c.name().equals(name)).findFirst().orElseThrow();
  }
}
