package org.cassiastack.bench.load;

import java.util.Arrays;
import java.util.Locale;
import org.cassiastack.daemon.command.CommandLine;
import org.cassiastack.daemon.command.ExitCodes;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.Refusals;

/**
 * Something that is done to the system in the middle of a trial.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface TrialAction {
  /**
   * Does it.
   *
   * @param system the system under load
   * @throws CassiaException when it was refused
   */
  void run(SystemUnderLoad system) throws CassiaException;

  /** Acts on one daemon. */
  static TrialAction onNode(NodeAction action, String node) {
    return system -> system.perform(action, node);
  }

  /**
   * Runs a command of the command line, such as {@code drain}.
   *
   * @param arguments its arguments; {@code OPERATORS} stands for the first entry's address
   */
  static TrialAction command(String... arguments) {
    return system -> {
      String[] filled =
          Arrays.stream(arguments)
              .map(a -> a.equals("OPERATORS") ? system.operatorAddress() : a)
              .toArray(String[]::new);
      int code = CommandLine.load().run(filled, System.out, System.err);
      if (code != ExitCodes.OK) {
        throw CassiaException.of(
            Refusals.malformed(String.join(" ", filled) + " ended with exit code " + code));
      }
    };
  }

  /**
   * Reads {@code kill agent-3} or {@code cassia COMMAND ARGUMENTS}.
   *
   * @throws CassiaException when the text is none of these
   */
  static TrialAction parse(String text) throws CassiaException {
    String[] words = text.trim().split(" +", -1);
    if (words[0].equals("cassia") && words.length > 1) {
      return command(Arrays.copyOfRange(words, 1, words.length));
    }
    for (NodeAction a : NodeAction.values()) {
      if (words.length == 2 && a.name().toLowerCase(Locale.ROOT).equals(words[0])) {
        return onNode(a, words[1]);
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
