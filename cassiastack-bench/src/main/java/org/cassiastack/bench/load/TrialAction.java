package org.cassiastack.bench.load;

import java.util.Arrays;
import java.util.Locale;
import org.cassiastack.daemon.command.CommandLine;
import org.cassiastack.daemon.command.ExitCodes;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.Refusals;

/**
 * An action that a script performs on the system during a load run.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface TrialAction {
  /**
   * Performs the action.
   *
   * @param system the system under load
   * @throws CassiaException when the action is refused or fails
   */
  void run(SystemUnderLoad system) throws CassiaException;

  /**
   * Returns an action on one daemon.
   *
   * @param action what happens to the daemon
   * @param node name of the daemon, such as {@code agent-3}
   */
  static TrialAction onNode(NodeAction action, String node) {
    return system -> system.perform(action, node);
  }

  /**
   * Returns an action that runs a command of {@code cassia}, such as {@code drain}.
   *
   * @param arguments the command and its arguments; {@code OPERATORS} is replaced by the operator
   *     address of the first entry
   */
  static TrialAction command(String... arguments) {
    return system -> {
      String[] commandLine =
          Arrays.stream(arguments)
              .map(argument -> argument.equals("OPERATORS") ? system.operatorAddress() : argument)
              .toArray(String[]::new);
      int exitCode = CommandLine.load().run(commandLine, System.out, System.err);
      if (exitCode != ExitCodes.OK) {
        throw CassiaException.of(
            Refusals.malformed(
                String.join(" ", commandLine) + " ended with exit code " + exitCode));
      }
    };
  }

  /**
   * Parses the action on a daemon, such as {@code kill agent-3}, or {@code cassia COMMAND
   * ARGUMENTS}.
   *
   * @throws CassiaException when the text has another form
   */
  static TrialAction parse(String text) throws CassiaException {
    String[] words = text.trim().split(" +", -1);
    if (words[0].equals("cassia") && words.length > 1) {
      return command(Arrays.copyOfRange(words, 1, words.length));
    }
    for (NodeAction action : NodeAction.values()) {
      if (words.length == 2 && action.name().toLowerCase(Locale.ROOT).equals(words[0])) {
        return onNode(action, words[1]);
      }
    }
    throw CassiaException.of(
        Refusals.malformed(
            "step '"
                + text
                + "'; allowed: stop, kill, pause, resume or start with the name of a"
                + " process, or cassia COMMAND"));
  }
}
