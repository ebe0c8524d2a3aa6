package org.cassiastack.bench.minion;

import java.time.Duration;

/**
 * Decides how a stand-in minion treats a task.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface TaskBehavior {
  /** Decides on the input of one task. */
  Outcome decide(String input);

  /**
   * Each task runs as long as its input says: {@code run_ms=120 anything else}. Its output is its
   * input.
   */
  static TaskBehavior specifiedByInput() {
    return input -> new Outcome(runTime(input), Outcome.OK, input);
  }

  /** Each task fails at once. */
  static TaskBehavior failing() {
    return input -> new Outcome(Duration.ZERO, Outcome.FAILED, "failed");
  }

  /**
   * The same behavior on a machine of another speed.
   *
   * @param speed run times are divided by it
   */
  default TaskBehavior atSpeed(double speed) {
    return input -> {
      Outcome o = decide(input);
      Duration runTime = Duration.ofNanos((long) (o.runTime().toNanos() / speed));
      return new Outcome(runTime, o.status(), o.output());
    };
  }

  private static Duration runTime(String input) {
    String prefix = "run_ms=";
    if (!input.startsWith(prefix)) {
      return Duration.ZERO;
    }
    int space = input.indexOf(' ');
    String number = input.substring(prefix.length(), space < 0 ? input.length() : space);
    return Duration.ofMillis(Long.parseLong(number));
  }

  /**
   * How a task ends.
   *
   * @param runTime how long it runs
   * @param status HTTP status of its answer
   * @param output body of its answer
   */
  record Outcome(Duration runTime, int status, String output) {
    /** HTTP status of a task that completed. */
    public static final int OK = 200;

    /** HTTP status of a task that failed. */
    public static final int FAILED = 500;
  }
}
