package org.cassiastack.request;

/**
 * Outcome of a request to the leader. The codes are listed in docs/QUEUES.md.
 *
 * @since 0.2
 */
public enum DeskCode {
  /**
   * The job is stored or, if it is not durable, has ended. For a cancellation: the job has ended.
   * For another change: the change is committed.
   */
  ACCEPTED(600),
  /**
   * The answer holds the phase of the job, the number of jobs that have not started or the document
   * of the configuration.
   */
  FOUND(601),
  /** No queue matches the address of the request. */
  NO_SUCH_QUEUE(610),
  /** No job with the requested identity is known. */
  NO_SUCH_JOB(611),
  /** No configuration has been stored yet; nothing has run. */
  NOT_CONFIGURED(612),
  /**
   * The backlog is so long that the job would end too late to be useful; the job has not run and
   * never will.
   */
  OVERLOADED(613),
  /**
   * No minion could ever run the job, or the job requires a feature that is not implemented; the
   * job never runs.
   */
  UNSUPPORTED(614),
  /** The caller's timeout left no time for an answer; the request had no effect. */
  TOO_LATE(615),
  /**
   * The process that received the request is not the leader; the request had no effect in that
   * process.
   */
  NOT_LEADER(620),
  /** No leader was known, so the request was not passed on; it had no effect. */
  NO_LEADER(621),
  /** The leader did not answer in time; it is not known whether the request had an effect. */
  UNANSWERED(622);

  private final int number;

  DeskCode(int number) {
    this.number = number;
  }

  /** Returns the number of the code. */
  public int number() {
    return number;
  }
}
