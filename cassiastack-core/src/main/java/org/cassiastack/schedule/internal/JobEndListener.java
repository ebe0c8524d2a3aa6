package org.cassiastack.schedule.internal;

import java.time.Instant;
import org.cassiastack.queue.JobPhase;

/** Is told of jobs that have ended by their runs. */
@FunctionalInterface
interface JobEndListener {
  /**
   * A job has ended.
   *
   * @param job the job
   * @param phase completed when every task is done, failed when one has failed too often
   */
  void jobEnded(LiveJob job, JobPhase phase, Instant now);
}
