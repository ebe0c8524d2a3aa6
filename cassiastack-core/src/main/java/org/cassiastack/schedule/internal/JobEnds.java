package org.cassiastack.schedule.internal;

import java.time.Instant;
import org.cassiastack.queue.JobPhase;

/** Is told of jobs that have ended by their runs. */
@FunctionalInterface
interface JobEnds {
  /**
   * A job has ended.
   *
   * @param job the job
   * @param phase completed when every task is done, failed when one has failed too often
   */
  void ended(LiveJob job, JobPhase phase, Instant now);
}
