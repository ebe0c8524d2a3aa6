package org.cassiastack.schedule.faults;

import java.util.Random;
import org.cassiastack.runs.RunId;

/** How long runs take at simulated minions, which of them fail, and which calls get no answer. */
final class RunModel {
  private final Random random;
  private int unansweredPercent;
  private int failingPercent;
  private int runTimeFactor = 1;
  private boolean someTasksLong;
  private long fixedMillis;
  private LateCalls lateCalls = LateCalls.NONE;

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

  /** Makes the runs of one task in four last 1.5 to 2.5 s. */
  void lengthenSomeTasks() {
    someTasksLong = true;
  }

  /** Makes all runs from now on last equally long. */
  void fixRunTime(long millis) {
    fixedMillis = millis;
  }

  /** Sets which calls without an answer reach a later incarnation of a minion. */
  void setLateCalls(LateCalls calls) {
    lateCalls = calls;
  }

  LateCalls lateCalls() {
    return lateCalls;
  }

  long millisOf(RunId run) {
    if (fixedMillis > 0) {
      return fixedMillis;
    }
    int hash = run.task().hashCode();
    if (someTasksLong && Math.floorMod(hash, 4) == 0) {
      return 1_500L + Math.floorMod(hash / 4, 1_000);
    }
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
