package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.time.Instant;

/**
 * Decides which runs stand still and are better begun anew at another worker.
 *
 * <p>The load that it answers: the tasks of some workers stand still while these answer as usual.
 * Without it such a task blocks its room, and its caller waits until the deadline. A run that only
 * is slow stays where it is: what it has done would be lost.
 */
final class StalledRuns {
  /** A run without progress in two lists of its minion, 200 ms apart, stands still. */
  private static final Duration STALL = Duration.ofMillis(400);

  /** A run of long work shows each hundredth of it later: it may take this part of its time. */
  private static final int STALL_PART = 10;

  /** Moves of one task, so that one which stands still by its own fault harms few workers. */
  private static final int MOST_MOVES = 2;

  private StalledRuns() {}

  /** Tells whether a run should be stopped so that its task can start elsewhere. */
  static boolean shouldMove(Run run, Instant now) {
    LiveStep step = run.step;
    if (step == null || run.isMoving || run.progress() >= 1) {
      return false;
    }
    Duration patience = step.estimatedRunTime.dividedBy(STALL_PART);
    boolean stalled =
        run.stalledFor().compareTo(STALL) >= 0 && run.stalledFor().compareTo(patience) >= 0;
    boolean useful = step.job.job.durable() || step.job.lateness(step, now) != Lateness.USELESS;
    return stalled && useful && step.avoidedAgents(run.id.task().index()).size() < MOST_MOVES;
  }
}
