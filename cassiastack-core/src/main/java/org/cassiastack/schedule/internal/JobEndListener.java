package org.cassiastack.schedule.internal;

import java.time.Instant;
import org.cassiastack.queue.JobPhase;

/** Listener for jobs that are completed or failed by the runs of their tasks. */
@FunctionalInterface
interface JobEndListener {
  /**
   * Called when a job has ended.
   *
   * @param job the job
   * @param phase {@link JobPhase#COMPLETED} when every task is done, {@link JobPhase#FAILED} when a
   *     task has failed as often as the queue allows
   * @param now the current time
   */
  void jobEnded(LiveJob job, JobPhase phase, Instant now);
}
