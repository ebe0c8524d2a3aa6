package org.cassiastack.queue;

/**
 * Phase of a job.
 *
 * @since 0.2
 */
public enum JobPhase {
  /** Accepted; no task has started. */
  QUEUED,
  /** At least one task has started. */
  RUNNING,
  /** Every task is done. */
  COMPLETED,
  /** A task has failed in as many runs as the job's queue allows. */
  FAILED,
  /** Cancelled by its caller. */
  CANCELLED;

  /** Returns whether the phase is final: no task of the job starts any more. */
  public boolean isFinal() {
    return this == COMPLETED || this == FAILED || this == CANCELLED;
  }
}
