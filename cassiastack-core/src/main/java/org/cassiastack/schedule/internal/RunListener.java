package org.cassiastack.schedule.internal;

import java.time.Instant;
import org.cassiastack.runs.EndedRun;
import org.cassiastack.runs.RunId;
import org.jspecify.annotations.Nullable;

/** Is told what the agents' reports say of runs. */
interface RunListener {
  /**
   * A run has ended; each end is told once in the life of a minion.
   *
   * @param run the run that took up room until now, or null when it was not known
   */
  void runEnded(WorkerState worker, @Nullable Run run, EndedRun end, Instant now);

  /** A run does not exist, and will not: it never started, or its lease ran out. */
  void runLost(WorkerState worker, Run run, Instant now);

  /** A run was found that this leader did not order; returns it as it should be kept. */
  Run runFound(WorkerState worker, RunId id, Instant now);
}
