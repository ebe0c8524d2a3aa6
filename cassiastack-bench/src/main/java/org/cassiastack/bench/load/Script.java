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
 * What is done to the system during a trial, and when.
 *
 * <pre>{@code
 * # seconds since the begin, then what to do
 * 10 kill agent-3
 * 20 start agent-3
 * }</pre>
 *
 * @param steps the steps
 * @since 0.1
 */
public record Script(List<Step> steps) {
  /** Nothing is done. */
  public static final Script EMPTY = new Script(List.of());

  /** Reads a file of steps, one a line. */
  public static Script read(Path file) throws CassiaException {
    try {
      return parse(Files.readAllLines(file));
    } catch (IOException e) {
      throw CassiaException.of(Refusals.malformed("file " + file + " cannot be read"));
    }
  }

  /** Reads steps, one a line. */
  public static Script parse(List<String> lines) throws CassiaException {
    List<Step> steps = new ArrayList<>();
    for (String line : lines) {
      if (!line.isBlank() && !line.startsWith("#")) {
        steps.add(step(line.trim()));
      }
    }
    return new Script(List.copyOf(steps));
  }

  private static Step step(String line) throws CassiaException {
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
   * One step.
   *
   * @param offset time since the begin
   * @param text the action in words
   * @param action what is done
   */
  public record Step(Duration offset, String text, TrialAction action) {}
}
