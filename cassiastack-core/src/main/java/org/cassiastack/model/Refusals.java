package org.cassiastack.model;

import java.time.Duration;

/**
 * Words every refusal and failure that callers see: what happened, the likely cause, what to do.
 *
 * @since 0.1
 */
public final class Refusals {
  private Refusals() {}

  /** A body or header that could not be read. */
  public static Refusal malformed(String detail) {
    return new Refusal(
        ResultCode.MALFORMED,
        "The request could not be read: " + detail + ". Nothing was run. Correct it and resend.");
  }

  /** A missing or wrong idempotency key. */
  public static Refusal invalidKey(String text) {
    return new Refusal(
        ResultCode.INVALID_KEY,
        ("Idempotency-Key '%s' is no UUID of version 7. Nothing was run. Make one key for "
                + "each job and resend it with the same job only.")
            .formatted(abbreviated(text)));
  }

  /** A service that is not declared. */
  public static Refusal unknownService(ServiceName service) {
    return new Refusal(
        ResultCode.UNKNOWN_SERVICE,
        ("Service '%s' is not declared in the configuration in force. Nothing was run. "
                + "Check the name, or apply a configuration that declares it.")
            .formatted(abbreviated(service.name())));
  }

  /** A customer that is not declared. */
  public static Refusal unknownCustomer(Customer customer) {
    return new Refusal(
        ResultCode.UNKNOWN_CUSTOMER,
        ("Customer '%s' is not declared in the configuration in force. Nothing was run. "
                + "Check header Cassia-Customer, or apply a configuration that declares it.")
            .formatted(abbreviated(customer.name())));
  }

  /** A job with too few or too many tasks. */
  public static Refusal invalidTaskCount(int count) {
    return new Refusal(
        ResultCode.INVALID_TASK_COUNT,
        "The job has %d tasks; 1 to %d are allowed. Nothing was run. Split it into several jobs."
            .formatted(count, Job.MAX_TASKS));
  }

  /** A body or payload that is too large. */
  public static Refusal tooLarge(long bytes, long limit) {
    return new Refusal(
        ResultCode.TOO_LARGE,
        "The request holds %d bytes; at most %d are allowed. Nothing was run. Send less in one job."
            .formatted(bytes, limit));
  }

  /** A key that came before with other content. */
  public static Refusal keyReused(JobKey key) {
    return new Refusal(
        ResultCode.KEY_REUSED,
        "Key %s was used for another job. This one was not run. Make a new key for each job."
            .formatted(key));
  }

  /** A service none of whose minions can take work. */
  public static Refusal noMinion(ServiceName service) {
    return new Refusal(
        ResultCode.NO_MINION,
        ("No minion of service '%s' can take work at present. Nothing was run. Try again "
                + "later; operators see the minions with 'cassia status'.")
            .formatted(service));
  }

  /** A process that has not heard of the configuration in force for too long. */
  public static Refusal staleConfiguration() {
    return new Refusal(
        ResultCode.STALE,
        "This entry has lost touch with the control members, so it starts nothing. Nothing was "
            + "run. Send the request to another entry.");
  }

  /** An operators' change that changed nothing, as far as is known. */
  public static Refusal notApplied(ResultCode code, Revision inForce) {
    String words =
        switch (code) {
          case STALE_BASE ->
              "The change was based on another revision than the one in force, which was %s. "
                  + "Nothing changed. Look at what is in force, then apply with a new change id.";
          case CHANGE_ID_REUSED ->
              "The change id was used for another change. Nothing changed; revision %s is in "
                  + "force. Use a new change id for each change.";
          case NO_LEADER ->
              "No control member leads at present. Nothing changed; revision %s is in force here. "
                  + "Send the same change again with the same change id.";
          default ->
              "Whether the change was accepted is not known; revision %s was in force before. "
                  + "Send it again with the same change id, which tells.";
        };
    return new Refusal(code, words.formatted(inForce));
  }

  /** A revision that is not kept here. */
  public static Refusal unknownRevision(Revision revision) {
    return new Refusal(
        ResultCode.UNKNOWN_REVISION,
        "Revision %s is not kept here. Ask another entry, or for a newer one.".formatted(revision));
  }

  /** A job whose expected wait is too long for its timeout. */
  public static Refusal overloaded(ServiceName service, Duration wait) {
    return new Refusal(
        ResultCode.OVERLOADED,
        ("Service '%s' is overloaded: the job would wait about %d ms. Nothing was run. Try again "
                + "later, or give the job a longer timeout.")
            .formatted(service, wait.toMillis()));
  }

  /** A customer that has used up its quota. */
  public static Refusal quotaExceeded(Customer customer) {
    return new Refusal(
        ResultCode.QUOTA_EXCEEDED,
        ("Customer '%s' has used up its quota of tasks a second. Nothing was run. Try again in a "
                + "second, or apply a configuration with a larger quota.")
            .formatted(customer.name()));
  }

  /** A process that is about to stop. */
  public static Refusal stopping() {
    return new Refusal(
        ResultCode.STOPPING,
        "This entry is stopping. Nothing was run. Send the request to another entry.");
  }

  /** A job that is not known here. */
  public static Refusal unknownJob(JobKey key) {
    return new Refusal(
        ResultCode.UNKNOWN_JOB, "Job %s is not known here. Check the key.".formatted(key));
  }

  /** A key that is older than answers are kept. */
  public static Refusal keyExpired(JobKey key, Duration retention) {
    return new Refusal(
        ResultCode.KEY_EXPIRED,
        ("Key %s was issued more than %d s ago, longer than answers are kept. Whether its "
                + "job ran is not known. Check the effects, then use a new key.")
            .formatted(key, retention.toSeconds()));
  }

  /** A key whose time of issue lies ahead of the clock here by more than clocks may differ. */
  public static Refusal keyAheadOfClock(JobKey key, Duration skew) {
    return new Refusal(
        ResultCode.INVALID_KEY,
        ("Key %s was issued more than %d ms ahead of the clock here. Nothing was run. Set the "
                + "clock of the caller, then use a new key.")
            .formatted(key, skew.toMillis()));
  }

  /** A key issued before everything known of its partition was lost. */
  public static Refusal coordinatorLost(JobKey key) {
    return new Refusal(
        ResultCode.COORDINATOR_LOST,
        ("Key %s was issued before the coordinator of its job started anew. Whether the job ran "
                + "is not known. Check the effects, then use a new key.")
            .formatted(key));
  }

  /** A deadline that passed; the code depends on whether any task may have started. */
  public static Refusal deadlinePassed(JobKey key, boolean mayHaveRun) {
    ResultCode code = mayHaveRun ? ResultCode.DEADLINE_MAY_HAVE_RUN : ResultCode.DEADLINE_NOT_RUN;
    return new Refusal(code, "Job %s passed its deadline. %s".formatted(key, known(mayHaveRun)));
  }

  /** A cancellation; the code depends on whether any task may have started. */
  public static Refusal cancelled(JobKey key, boolean mayHaveRun) {
    ResultCode code = mayHaveRun ? ResultCode.CANCELLED_MAY_HAVE_RUN : ResultCode.CANCELLED_NOT_RUN;
    return new Refusal(code, "Job %s was cancelled. %s".formatted(key, known(mayHaveRun)));
  }

  /** A task that was handed to an agent whose lease has lapsed. */
  public static Refusal agentLost(TaskId task) {
    return new Refusal(
        ResultCode.AGENT_LOST,
        "The agent that held task %s has gone silent. %s".formatted(task, known(true)));
  }

  /** A task whose minion broke off. */
  public static Refusal minionLost(TaskId task) {
    return new Refusal(
        ResultCode.MINION_LOST,
        "The minion that ran task %s went away. %s".formatted(task, known(true)));
  }

  /** A task that ran and reported an error. */
  public static Refusal taskFailed(TaskId task) {
    return new Refusal(
        ResultCode.TASK_FAILED,
        "Task %s ran and its minion reported an error. See the minion's log.".formatted(task));
  }

  /** A data folder that cannot be used. */
  public static Refusal unusableDataFolder(String folder, String reason) {
    return new Refusal(
        ResultCode.INVALID_SETTINGS,
        ("Data folder %s cannot be used: %s. Check that it is this member's and that no other "
                + "process uses it.")
            .formatted(folder, reason));
  }

  /** A fault of the system itself. */
  public static Refusal internalError() {
    return new Refusal(
        ResultCode.INTERNAL_ERROR,
        "The entry failed on this request. "
            + known(true)
            + " Resubmit with the same key to learn what became of the job.");
  }

  private static String known(boolean mayHaveRun) {
    return mayHaveRun
        ? "Some of its tasks may have run. Check the effects before you send the work again."
        : "Nothing was run.";
  }

  private static String abbreviated(String text) {
    int limit = 64;
    return text.length() <= limit ? text : text.substring(0, limit) + "...";
  }
}
