package org.cassiastack.schedule.faults;

import java.util.Random;
import org.cassiastack.runs.RunId;

/** How long runs take at simulated minions, which of them fail, and which calls get no answer. */
final class RunModel {
  private final Random random;
  private int unansweredPercent;
  private int failingPercent;
  private int runTimeFactor = 1;

  RunModel(Random random) {
    this.random = random;
  }

  void setFaults(int unansweredCallsPercent, int failingRunsPercent) {
    unansweredPercent = unansweredCallsPercent;
    failingPercent = failingRunsPercent;
  }

  /** Makes all runs from now on longer by a factor. */
  void lengthenRuns(int factor) {
    runTimeFactor = factor;
  }

  long millisOf(RunId run) {
    return runTimeFactor * (40L + Math.floorMod(run.hashCode(), 120));
  }

  boolean fails(RunId run) {
    return Math.floorMod(run.hashCode() / 7, 100) < failingPercent;
  }

  /** Decides at random whether a call to a minion remains unanswered. */
  boolean leavesCallUnanswered() {
    return random.nextInt(100) < unansweredPercent;
  }
}
