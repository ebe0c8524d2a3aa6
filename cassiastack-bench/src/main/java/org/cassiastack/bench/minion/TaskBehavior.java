package org.cassiastack.bench.minion;

import java.time.Duration;

/**
 * Determines how long a task runs at a stand-in minion and how it ends.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface TaskBehavior {
  /** Returns the run time and the answer of a task with this input. */
  Outcome decide(String input);

  /**
   * Returns a behavior that reads the run time from the input, such as {@code run_ms=120 anything
   * else}. Without the prefix {@code run_ms=} the run time is 0. Each task completes, and its
   * output is its input.
   */
  static TaskBehavior specifiedByInput() {
    return input -> new Outcome(parseRunTime(input), Outcome.OK, input);
  }

  /** Returns a behavior in which each task fails immediately. */
  static TaskBehavior failing() {
    return input -> new Outcome(Duration.ZERO, Outcome.FAILED, "failed");
  }

  /**
   * Returns this behavior on a machine of another speed.
   *
   * @param speed factor by which run times are divided
   */
  default TaskBehavior atSpeed(double speed) {
    return input -> {
      Outcome outcome = decide(input);
      Duration runTime = Duration.ofNanos((long) (outcome.runTime().toNanos() / speed));
      return new Outcome(runTime, outcome.status(), outcome.output());
    };
  }

  private static Duration parseRunTime(String input) {
    String prefix = "run_ms=";
    if (!input.startsWith(prefix)) {
      return Duration.ZERO;
    }
    int spaceIndex = input.indexOf(' ');
    String number = input.substring(prefix.length(), spaceIndex < 0 ? input.length() : spaceIndex);
    return Duration.ofMillis(Long.parseLong(number));
  }

  /**
   * Run time and answer of a task.
   *
   * @param runTime time between the start and the answer
   * @param status HTTP status of the answer
   * @param output body of the answer
   */
  record Outcome(Duration runTime, int status, String output) {
    /** HTTP status of a task that completed. */
    public static final int OK = 200;

    /** HTTP status of a task that failed. */
    public static final int FAILED = 500;
  }
}
