package org.cassiastack.bench.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.Refusals;

/**
 * Timed actions on the system during a load run.
 *
 * <pre>{@code
 * # seconds since the start of the run, then the action
 * 10 kill agent-3
 * 20 start agent-3
 * }</pre>
 *
 * @param steps the timed actions, in any order
 * @since 0.1
 */
public record Script(List<Step> steps) {
  /** A script without steps. */
  public static final Script EMPTY = new Script(List.of());

  /**
   * Reads a script from a file.
   *
   * @throws CassiaException when the file cannot be read or holds a malformed line
   */
  public static Script read(Path file) throws CassiaException {
    try {
      return parse(Files.readAllLines(file));
    } catch (IOException e) {
      throw CassiaException.of(Refusals.malformed("file " + file + " cannot be read"));
    }
  }

  /**
   * Parses a script with one step per line; blank lines and lines that start with {@code #} are
   * skipped.
   *
   * @throws CassiaException when a line is malformed
   */
  public static Script parse(List<String> lines) throws CassiaException {
    List<Step> steps = new ArrayList<>();
    for (String line : lines) {
      if (!line.isBlank() && !line.startsWith("#")) {
        steps.add(parseStep(line.trim()));
      }
    }
    return new Script(List.copyOf(steps));
  }

  private static Step parseStep(String line) throws CassiaException {
    int space = line.indexOf(' ');
    try {
      double seconds = Double.parseDouble(line.substring(0, Math.max(space, 0)));
      String text = line.substring(space + 1);
      return new Step(Duration.ofMillis((long) (seconds * 1_000)), text, TrialAction.parse(text));
    } catch (NumberFormatException e) {
      throw CassiaException.of(Refusals.malformed("step '" + line + "'; allowed: SECONDS ACTION"));
    }
  }

  /**
   * One timed action.
   *
   * @param offset time since the start of the run
   * @param text the action as written in the script
   * @param action the action to perform
   */
  public record Step(Duration offset, String text, TrialAction action) {}
}
