package org.cassiastack.request;

/**
 * What became of a request to the leader. docs/QUEUES.md lists them.
 *
 * @since 0.2
 */
public enum DeskCode {
  /** The job is stored, or the change is in force. */
  ACCEPTED(600),
  /** The job's phase, the number of waiting jobs or the configuration is in the answer. */
  FOUND(601),
  /** No queue has that address. */
  NO_SUCH_QUEUE(610),
  /** No job of that identity is known. */
  NO_SUCH_JOB(611),
  /** No configuration has arrived yet; nothing has run. */
  NOT_CONFIGURED(612),
  /** The backlog is too long for the job to be of use; it has not run and never will. */
  OVERLOADED(613),
  /** No minion could ever run the job, or it asks for what is not built; it never runs. */
  UNSUPPORTED(614),
  /** The caller left no time for an answer; the request had no effect. */
  TOO_LATE(615),
  /** The process that was asked does not lead; the request had no effect there. */
  NOT_LEADER(620),
  /** No leader was known, so the request was never handed on; it had no effect. */
  NO_LEADER(621),
  /** The leader did not answer in time; whether the request had an effect is not known. */
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
