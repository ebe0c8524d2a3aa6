package org.cassiastack.request;

/**
 * Outcome of a request to the leader. The codes are listed in docs/QUEUES.md.
 *
 * @since 0.2
 */
public enum AnswerCode {
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
   * The leader knows at least one minion of the service, but none whose total capacity is enough
   * for a task of some step of the job. Labels are not checked. The job never runs. A job that
   * requires a feature that is not implemented is refused before it reaches the leader, without
   * this code.
   */
  UNSUPPORTED(614),
  /** The caller's timeout left no time for an answer; the request had no effect. */
  TOO_LATE(615),
  /**
   * The leader has taken another order for the failure domain since the revision that the order is
   * based on, or another leader has; the order had no effect.
   */
  SUPERSEDED(616),
  /**
   * The order for a failure domain may be so old that its operator no longer waits for the answer;
   * it had no effect. The answer's document is the revision with which a waiting operator confirms
   * the order.
   */
  CONFIRMATION_NEEDED(617),
  /**
   * The process that received the request is not the leader; the request had no effect in that
   * process.
   */
  NOT_LEADER(620),
  /** No leader was known, so the request was not passed on; it had no effect. */
  NO_LEADER(621),
  /**
   * It is not known whether the request had an effect: the leader gave no definite answer in time,
   * the process that waited for the answer stopped, or a leader refused a job that an earlier
   * leader may have started.
   */
  UNANSWERED(622),
  /**
   * A fallback dispatcher has given the job up to the leader and starts none of its tasks any more.
   * Some of its tasks may have run. The entry sends the job to the leader; callers do not get this
   * code.
   */
  HANDED_OVER(623);

  private final int number;

  AnswerCode(int number) {
    this.number = number;
  }

  /** Returns the number of the code. */
  public int number() {
    return number;
  }
}
