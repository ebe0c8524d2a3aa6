package org.cassiastack.model;

/**
 * Numbered outcome of a job, of a task or of an operators' change.
 *
 * <p>The hundreds digit is the class of the outcome:
 *
 * <ol>
 *   <li>1xx: complete.
 *   <li>2xx: refused and not run; no task can have started.
 *   <li>3xx: failed; tasks may have run.
 *   <li>4xx: a task ran and failed.
 *   <li>5xx: an operators' change was refused and nothing changed.
 * </ol>
 *
 * @since 0.1
 */
public enum ResultCode {
  /** The task, or every task of the job, completed. */
  COMPLETE(100),
  /** The operators' change was accepted. */
  ACCEPTED(101),

  /** The body or a header could not be read. */
  MALFORMED(200),
  /**
   * The idempotency key is missing, is not a UUID of version 7, or was issued ahead of this
   * process's clock.
   */
  INVALID_KEY(201),
  /** The configuration in force has no such service. */
  UNKNOWN_SERVICE(202),
  /** The configuration in force has no such customer. */
  UNKNOWN_CUSTOMER(203),
  /** The number of tasks of the job is out of bounds. */
  INVALID_TASK_COUNT(204),
  /** The body or a payload is larger than allowed. */
  TOO_LARGE(205),
  /** The key was used for another job. */
  KEY_REUSED(206),
  /** No minion of the service is available. */
  NO_MINION(207),
  /** The expected wait is longer than the timeout of the job. */
  OVERLOADED(208),
  /** The customer's quota is used up. */
  QUOTA_EXCEEDED(209),
  /** The process is stopping. */
  STOPPING(210),
  /** The process has not been able to confirm for too long which configuration is in force. */
  STALE(211),
  /** The deadline passed before any task started. */
  DEADLINE_NOT_RUN(212),
  /** The job was cancelled before any task started. */
  CANCELLED_NOT_RUN(213),
  /** The process knows no job with that key. */
  UNKNOWN_JOB(214),
  /** The failure domain is out of service. */
  DOMAIN_OUT(215),
  /** No worker is large enough for a task of the job. */
  FITS_NO_WORKER(216),
  /** The coordinator that is responsible for the job cannot be reached and was not sent the job. */
  NO_COORDINATOR(217),
  /** The agent's start guard is at capacity and cannot record another task. */
  GUARD_FULL(218),

  /** The key is older than the retention of answers, so whether its job ran is unknown. */
  KEY_EXPIRED(300),
  /** A task was dispatched to an agent that has stopped responding. */
  AGENT_LOST(301),
  /** The deadline passed after tasks had started. */
  DEADLINE_MAY_HAVE_RUN(302),
  /** The job was cancelled after tasks had started. */
  CANCELLED_MAY_HAVE_RUN(303),
  /**
   * The coordinator lost its records after the key was issued, so whether the job ran is unknown.
   */
  COORDINATOR_LOST(304),
  /** The minion was lost while it ran a task. */
  MINION_LOST(305),
  /** An unexpected error occurred while the system handled the request. */
  INTERNAL_ERROR(306),

  /** A task ran and reported an error. */
  TASK_FAILED(400),

  /** A configuration file has invalid content. */
  INVALID_CONFIGURATION(500),
  /** The change was based on a revision that is no longer in force. */
  STALE_BASE(501),
  /** The control members currently have no leader. */
  NO_LEADER(502),
  /** The change id was used for another change. */
  CHANGE_ID_REUSED(503),
  /**
   * Whether the change was accepted is not known yet; sending the change again with the same id
   * gives the answer.
   */
  CHANGE_UNRESOLVED(504),
  /** A setting of the process is missing or wrong. */
  INVALID_SETTINGS(505),
  /** The operators' token is missing or wrong. */
  UNAUTHORIZED(506),
  /** The process does not retain the revision. */
  UNKNOWN_REVISION(507);

  private static final int CLASS_SIZE = 100;

  private final int number;

  ResultCode(int number) {
    this.number = number;
  }

  /** Returns the number of the code, as listed in docs/RESULT-CODES.md. */
  public int number() {
    return number;
  }

  /** Returns whether the code guarantees that no task ran. */
  public boolean isNotRun() {
    return number / CLASS_SIZE == 2;
  }
}
