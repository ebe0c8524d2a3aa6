package org.cassiastack.model;

import java.util.List;

/**
 * The only answer to a job: complete with the results of all tasks in task order, or failed without
 * any result.
 *
 * @param key key of the job that is answered
 * @param code {@link ResultCode#COMPLETE}, or the reason why the job failed
 * @param message human-readable text that says what happened and what to do
 * @param results one result for each task, in task order, when the job is complete; otherwise empty
 * @since 0.1
 */
public record JobAnswer(JobKey key, ResultCode code, String message, List<TaskResult> results) {
  /**
   * Creates the answer to a job whose tasks have all completed.
   *
   * @param results one result for each task, in task order
   */
  public static JobAnswer complete(JobKey key, List<TaskResult> results) {
    return new JobAnswer(key, ResultCode.COMPLETE, "complete", List.copyOf(results));
  }

  /** Creates the answer to a job that did not complete. */
  public static JobAnswer failed(JobKey key, Refusal refusal) {
    return new JobAnswer(key, refusal.code(), refusal.message(), List.of());
  }

  /** Returns whether every task of the job completed. */
  public boolean isComplete() {
    return code == ResultCode.COMPLETE;
  }
}
