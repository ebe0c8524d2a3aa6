package org.cassiastack.routing;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;

/**
 * Counts the consecutive failures of one minion and records its ejections.
 *
 * <p>A failure may be caused by the task, so failures of a single job are not evidence against the
 * minion.
 */
public final class MinionHealth {
  private static final int MIN_CONSECUTIVE_FAILURES = 3;
  private static final int MIN_FAILED_JOBS = 2;
  private static final Duration INITIAL_EJECTION = Duration.ofSeconds(5);
  private static final int MAX_GROWTH_STEPS = 3;
  private static final int GROWTH_SHIFT_BITS = 2;
  private static final int SUCCESSES_TO_RESET_EJECTIONS = 20;

  private int consecutiveFailures;
  private int failedJobs;
  private int consecutiveSuccesses;
  private int ejections;
  private boolean probed;
  private @Nullable Object lastFailedJob;
  private Instant ejectedUntil = Instant.MIN;

  /**
   * Records a completed task, after which the minion is no longer probed. Enough consecutive
   * successes also reset the duration of the next ejection to the initial duration.
   */
  public void succeeded() {
    consecutiveFailures = 0;
    failedJobs = 0;
    lastFailedJob = null;
    probed = false;
    consecutiveSuccesses++;
    if (consecutiveSuccesses >= SUCCESSES_TO_RESET_EJECTIONS) {
      ejections = 0;
    }
  }

  /** Records a task that failed or was never started. */
  public void failed(Object job) {
    consecutiveSuccesses = 0;
    consecutiveFailures++;
    if (!job.equals(lastFailedJob)) {
      failedJobs++;
      lastFailedJob = job;
    }
  }

  /**
   * Returns whether the failures justify an ejection: any failure of a probed minion, otherwise
   * several consecutive failures from more than one job.
   */
  public boolean isOutlier() {
    return probed
        ? consecutiveFailures > 0
        : consecutiveFailures >= MIN_CONSECUTIVE_FAILURES && failedJobs >= MIN_FAILED_JOBS;
  }

  /**
   * Ejects the minion for a limited time and marks it as probed until a task completes. Each
   * ejection lasts four times as long as the previous ejection, up to a limit.
   */
  public void eject(Instant now) {
    ejectedUntil =
        now.plus(
            INITIAL_EJECTION.multipliedBy(
                1L << (GROWTH_SHIFT_BITS * Math.min(ejections, MAX_GROWTH_STEPS))));
    ejections++;
    probed = true;
    consecutiveFailures = 0;
    failedJobs = 0;
    lastFailedJob = null;
  }

  /** Returns whether the minion is ejected, so that it gets no task at all. */
  public boolean isEjected(Instant now) {
    return now.isBefore(ejectedUntil);
  }

  /** Returns whether the minion was ejected and has not completed a task since. */
  public boolean isProbed() {
    return probed;
  }
}
