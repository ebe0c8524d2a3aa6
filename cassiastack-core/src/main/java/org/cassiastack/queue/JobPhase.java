package org.cassiastack.queue;

/**
 * How far a job has come.
 *
 * @since 0.2
 */
public enum JobPhase {
  /** Accepted; no task has started. */
  QUEUED,
  /** A task has started. */
  RUNNING,
  /** Every task is done. */
  COMPLETED,
  /** A task has failed too often. */
  FAILED,
  /** Cancelled by its caller. */
  CANCELLED;

  /** Tells whether nothing of the job will start any more. */
  public boolean isFinal() {
    return this == COMPLETED || this == FAILED || this == CANCELLED;
  }
}
