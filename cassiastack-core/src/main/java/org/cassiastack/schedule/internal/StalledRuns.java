package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.time.Instant;

/**
 * Decides which runs have stalled, so that their tasks should start again on another worker.
 *
 * <p>This rule is for workers whose tasks make no progress although the worker answers as usual. If
 * it were not moved, such a task would block its resources and the caller would wait until the
 * deadline. A run that is only slow is not moved, because its progress would be lost.
 */
final class StalledRuns {
  /** Minimum time without progress: two run lists of the minion, which come 200 ms apart. */
  private static final Duration MIN_STALL = Duration.ofMillis(400);

  /**
   * A run may also go without progress for its estimated run time divided by this number: a long
   * run takes longer to advance its progress by one percent.
   */
  private static final int STALL_DIVISOR = 10;

  /**
   * A task that has failed or stalled at this many agents is not moved again, so that a task that
   * stalls by its own fault blocks few workers.
   */
  private static final int MAX_AVOIDED_AGENTS = 2;

  private StalledRuns() {}

  /** Returns whether a run should be stopped so that its task can start on another worker. */
  static boolean shouldMove(Run run, Instant now) {
    LiveStep step = run.step;
    if (step == null || run.isMoving || run.progress() >= 1) {
      return false;
    }
    Duration fractionOfRunTime = step.estimatedRunTime.dividedBy(STALL_DIVISOR);
    boolean stalled =
        run.stalledFor().compareTo(MIN_STALL) >= 0
            && run.stalledFor().compareTo(fractionOfRunTime) >= 0;
    boolean useful = step.job.job.durable() || step.job.lateness(step, now) != Lateness.USELESS;
    return stalled
        && useful
        && step.avoidedAgents(run.id.task().index()).size() < MAX_AVOIDED_AGENTS;
  }
}
