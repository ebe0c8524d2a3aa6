package org.cassiastack.model;

import java.time.Duration;

/**
 * Creates the refusals and failures that callers and operators see. Each message says what
 * happened, the likely cause and what to do next.
 *
 * @since 0.1
 */
public final class Refusals {
  private Refusals() {}

  /** Returns the refusal of a request whose body or header cannot be read. */
  public static Refusal malformed(String detail) {
    return new Refusal(
        ResultCode.MALFORMED,
        "The request could not be read: "
            + detail
            + ". Nothing was run. Correct the request and resend it.");
  }

  /** Returns the refusal of a job whose idempotency key is missing or invalid. */
  public static Refusal invalidKey(String text) {
    return new Refusal(
        ResultCode.INVALID_KEY,
        ("Idempotency-Key '%s' is not a UUID of version 7. Nothing was run. Create one key for "
                + "each job, and use it again only to resend the same job.")
            .formatted(abbreviate(text)));
  }

  /**
   * Returns the refusal of a job for a service that the configuration in force does not declare.
   */
  public static Refusal unknownService(ServiceName service) {
    return new Refusal(
        ResultCode.UNKNOWN_SERVICE,
        ("Service '%s' is not declared in the configuration in force. Nothing was run. "
                + "Check the name, or apply a configuration that declares it.")
            .formatted(abbreviate(service.name())));
  }

  /**
   * Returns the refusal of a job of a customer that the configuration in force does not declare.
   */
  public static Refusal unknownCustomer(Customer customer) {
    return new Refusal(
        ResultCode.UNKNOWN_CUSTOMER,
        ("Customer '%s' is not declared in the configuration in force. Nothing was run. "
                + "Check header Cassia-Customer, or apply a configuration that declares it.")
            .formatted(abbreviate(customer.name())));
  }

  /** Returns the refusal of a job with fewer than 1 or more than {@link Job#MAX_TASKS} tasks. */
  public static Refusal invalidTaskCount(int count) {
    return new Refusal(
        ResultCode.INVALID_TASK_COUNT,
        "The job has %d tasks; 1 to %d are allowed. Nothing was run. Split it into several jobs."
            .formatted(count, Job.MAX_TASKS));
  }

  /** Returns the refusal of a body or payload that is too large. */
  public static Refusal tooLarge(long bytes, long limit) {
    return new Refusal(
        ResultCode.TOO_LARGE,
        "The request holds %d bytes; at most %d are allowed. Nothing was run. Send less in one job."
            .formatted(bytes, limit));
  }

  /** Returns the refusal of a job whose key was used before for a job with other content. */
  public static Refusal keyReused(JobKey key) {
    return new Refusal(
        ResultCode.KEY_REUSED,
        "Key %s was used for another job. This job was not run. Use a new key for each job."
            .formatted(key));
  }

  /** Returns the refusal of a job for a service that has no minion able to take work. */
  public static Refusal noMinion(ServiceName service) {
    return new Refusal(
        ResultCode.NO_MINION,
        ("No minion of service '%s' can take work now. Nothing was run. Try again "
                + "later; operators can list the minions with 'cassia status'.")
            .formatted(service));
  }

  /**
   * Returns the refusal by a process that has not been able to confirm for too long which
   * configuration is in force.
   */
  public static Refusal staleConfiguration() {
    return new Refusal(
        ResultCode.STALE,
        "This entry has lost contact with the control members, so it starts no tasks. Nothing was "
            + "run. Send the request to another entry.");
  }

  /**
   * Returns the failure of an operators' change that was not applied, or whose outcome is unknown.
   */
  public static Refusal notApplied(ResultCode code, Revision inForce) {
    String message =
        switch (code) {
          case STALE_BASE ->
              "The change was not based on the revision in force, which was %s. Nothing changed. "
                  + "Review the configuration in force, then apply a change with a new change id.";
          case CHANGE_ID_REUSED ->
              "The change id was already used for another change. Nothing changed; revision %s is "
                  + "in force. Use a new change id for each change.";
          case NO_LEADER ->
              "The control members currently have no leader. Nothing changed; revision %s is in "
                  + "force here. Send the same change again with the same change id.";
          default ->
              "Whether the change was accepted is not known; revision %s was in force before. "
                  + "Send the change again with the same change id to learn the outcome.";
        };
    return new Refusal(code, message.formatted(inForce));
  }

  /** Returns the refusal of a request for a revision that this process does not retain. */
  public static Refusal unknownRevision(Revision revision) {
    return new Refusal(
        ResultCode.UNKNOWN_REVISION,
        "Revision %s is not retained here. Ask another entry, or request a newer revision."
            .formatted(revision));
  }

  /** Returns the refusal of a job whose expected wait is too long for its timeout. */
  public static Refusal overloaded(ServiceName service, Duration wait) {
    return new Refusal(
        ResultCode.OVERLOADED,
        ("Service '%s' is overloaded: the job would wait about %d ms. Nothing was run. Try again "
                + "later, or give the job a longer timeout.")
            .formatted(service, wait.toMillis()));
  }

  /** Returns the refusal of a job of a customer that has used up its quota. */
  public static Refusal quotaExceeded(Customer customer) {
    return new Refusal(
        ResultCode.QUOTA_EXCEEDED,
        ("Customer '%s' has used up its quota of tasks per second. Nothing was run. Try again in a "
                + "second, or apply a configuration with a larger quota.")
            .formatted(customer.name()));
  }

  /** Returns the refusal by a process that is stopping. */
  public static Refusal stopping() {
    return new Refusal(
        ResultCode.STOPPING,
        "This entry is stopping. Nothing was run. Send the request to another entry.");
  }

  /** Returns the refusal of a request about a job that is not known to this process. */
  public static Refusal unknownJob(JobKey key) {
    return new Refusal(
        ResultCode.UNKNOWN_JOB, "Job %s is not known here. Check the key.".formatted(key));
  }

  /** Returns the failure of a request whose key is older than the retention of answers. */
  public static Refusal keyExpired(JobKey key, Duration retention) {
    return new Refusal(
        ResultCode.KEY_EXPIRED,
        ("Key %s was issued more than %d s ago, longer than answers are retained. Whether its "
                + "job ran is not known. Check the effects, then use a new key.")
            .formatted(key, retention.toSeconds()));
  }

  /**
   * Returns the refusal of a key whose time of issue is ahead of this process's clock by more than
   * the permitted clock skew.
   */
  public static Refusal keyAheadOfClock(JobKey key, Duration skew) {
    return new Refusal(
        ResultCode.INVALID_KEY,
        ("Key %s was issued more than %d ms ahead of the clock of this entry. Nothing was run. "
                + "Correct the clock of the caller, then use a new key.")
            .formatted(key, skew.toMillis()));
  }

  /**
   * Returns the failure of a request whose key was issued before the coordinator of its job lost
   * its records.
   */
  public static Refusal coordinatorLost(JobKey key) {
    return new Refusal(
        ResultCode.COORDINATOR_LOST,
        ("Key %s was issued before the coordinator of its job lost its records. Whether the job "
                + "ran is not known. Check the effects, then use a new key.")
            .formatted(key));
  }

  /**
   * Returns the failure of a job whose deadline has passed; the code depends on whether any task
   * may have run.
   */
  public static Refusal deadlinePassed(JobKey key, boolean mayHaveRun) {
    ResultCode code = mayHaveRun ? ResultCode.DEADLINE_MAY_HAVE_RUN : ResultCode.DEADLINE_NOT_RUN;
    return new Refusal(
        code, "Job %s passed its deadline. %s".formatted(key, describeEffects(mayHaveRun)));
  }

  /** Returns the failure of a cancelled job; the code depends on whether any task may have run. */
  public static Refusal cancelled(JobKey key, boolean mayHaveRun) {
    ResultCode code = mayHaveRun ? ResultCode.CANCELLED_MAY_HAVE_RUN : ResultCode.CANCELLED_NOT_RUN;
    return new Refusal(
        code, "Job %s was cancelled. %s".formatted(key, describeEffects(mayHaveRun)));
  }

  /**
   * Returns the failure of a job with a task that was dispatched to an agent whose lease has
   * expired.
   */
  public static Refusal agentLost(TaskId task) {
    return new Refusal(
        ResultCode.AGENT_LOST,
        "The agent that held task %s has stopped responding. %s"
            .formatted(task, describeEffects(true)));
  }

  /** Returns the failure of a job with a task whose minion was lost while it ran the task. */
  public static Refusal minionLost(TaskId task) {
    return new Refusal(
        ResultCode.MINION_LOST,
        "The minion that ran task %s was lost. %s".formatted(task, describeEffects(true)));
  }

  /** Returns the failure of a job with a task that ran and reported an error. */
  public static Refusal taskFailed(TaskId task) {
    return new Refusal(
        ResultCode.TASK_FAILED,
        "Task %s ran and its minion reported an error. See the minion's log.".formatted(task));
  }

  /** Returns the failure of a process to start because its data folder cannot be used. */
  public static Refusal unusableDataFolder(String folder, String reason) {
    return new Refusal(
        ResultCode.INVALID_SETTINGS,
        ("Data folder %s cannot be used: %s. Check that it belongs to this member and that no "
                + "other process uses it.")
            .formatted(folder, reason));
  }

  /** Returns the failure of a request because of an unexpected error in the system. */
  public static Refusal internalError() {
    return new Refusal(
        ResultCode.INTERNAL_ERROR,
        "The entry failed to handle this request. "
            + describeEffects(true)
            + " Resubmit with the same key to learn the outcome of the job.");
  }

  private static String describeEffects(boolean mayHaveRun) {
    return mayHaveRun
        ? "Some of its tasks may have run. Check the effects before you submit the work again."
        : "Nothing was run.";
  }

  private static String abbreviate(String text) {
    int limit = 64;
    return text.length() <= limit ? text : text.substring(0, limit) + "...";
  }
}
