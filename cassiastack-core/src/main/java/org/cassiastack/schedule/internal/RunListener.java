package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.time.Instant;
import org.cassiastack.runs.AgentReport;
import org.cassiastack.runs.EndedRun;
import org.cassiastack.runs.RunId;
import org.jspecify.annotations.Nullable;

/** Listener for runs that have ended, are lost or are found, and for agents that are replaced. */
interface RunListener {
  /**
   * Called when a run has ended; once for each end within an incarnation of the minion.
   *
   * @param run the leader's record of the run, already removed from the worker; null when the
   *     leader had no record
   */
  void runEnded(WorkerState worker, @Nullable Run run, EndedRun end, Instant now);

  /**
   * Called when another incarnation of an agent has followed the one before.
   *
   * @param report the first report of the new incarnation; {@link WorkerState#report} is the last
   *     one of the former
   * @param silence time since that one
   */
  void agentReplaced(
      WorkerState worker, AgentReport report, ReportOrder.Verdict verdict, Duration silence);

  /**
   * Called when a run does not exist and cannot start any more: it never started, its minion
   * restarted, or its lease expired.
   */
  void runLost(WorkerState worker, Run run, RunLoss loss, Instant now);

  /** Returns whether the task of a run that is gone still has to be done. */
  boolean isTaskOpen(Run run);

  /**
   * Called when a report names a run that this leader has no record of.
   *
   * @return the record of the run that is added to the worker
   */
  Run runFound(WorkerState worker, RunId id, Instant now);
}
