package org.cassiastack.routing;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;

/**
 * Failures in a row of one minion, and its ejection.
 *
 * <p>A failure may be the fault of the task, so that failures of one job alone prove nothing.
 */
public final class MinionHealth {
  private static final int FAILURES_IN_ROW = 3;
  private static final int JOBS_FAILED_IN_ROW = 2;
  private static final Duration FIRST_EJECTION = Duration.ofSeconds(5);
  private static final int MOST_GROWTHS = 3;
  private static final int GROWTH_BITS = 2;
  private static final int SUCCESSES_TO_FORGET = 20;

  private int failures;
  private int jobsFailed;
  private int successes;
  private int ejections;
  private boolean probed;
  private @Nullable Object lastFailed;
  private Instant ejectedUntil = Instant.MIN;

  /** Counts a task that completed; a probed minion is trusted again. */
  public void succeeded() {
    failures = 0;
    jobsFailed = 0;
    lastFailed = null;
    probed = false;
    successes++;
    if (successes >= SUCCESSES_TO_FORGET) {
      ejections = 0;
    }
  }

  /** Counts a task that failed or was never begun. */
  public void failed(Object job) {
    successes = 0;
    failures++;
    if (!job.equals(lastFailed)) {
      jobsFailed++;
      lastFailed = job;
    }
  }

  /** Tells whether the failures speak against the minion. */
  public boolean isOutlier() {
    return probed ? failures > 0 : failures >= FAILURES_IN_ROW && jobsFailed >= JOBS_FAILED_IN_ROW;
  }

  /** Ejects the minion, each time for four times as long; afterwards it is probed. */
  public void eject(Instant now) {
    ejectedUntil =
        now.plus(
            FIRST_EJECTION.multipliedBy(1L << (GROWTH_BITS * Math.min(ejections, MOST_GROWTHS))));
    ejections++;
    probed = true;
    failures = 0;
    jobsFailed = 0;
    lastFailed = null;
  }

  /** Tells whether the minion takes no task at all. */
  public boolean isEjected(Instant now) {
    return now.isBefore(ejectedUntil);
  }

  /** Tells whether the minion was ejected and has not completed a task since. */
  public boolean isProbed() {
    return probed;
  }
}
