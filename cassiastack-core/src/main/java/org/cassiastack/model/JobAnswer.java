package org.cassiastack.model;

import java.util.List;

/**
 * The one answer to a job: complete with every result in task order, or failed with none.
 *
 * @param key the job that is answered
 * @param code {@link ResultCode#COMPLETE} or why the job failed
 * @param message what happened and what to do, for people
 * @param results one for each task in order when complete, empty otherwise
 * @since 0.1
 */
public record JobAnswer(JobKey key, ResultCode code, String message, List<TaskResult> results) {
  /**
   * The answer of a job all of whose tasks completed.
   *
   * @param results one result for each task, in task order
   */
  public static JobAnswer complete(JobKey key, List<TaskResult> results) {
    return new JobAnswer(key, ResultCode.COMPLETE, "complete", List.copyOf(results));
  }

  /** The answer of a job that did not complete. */
  public static JobAnswer failed(JobKey key, Refusal refusal) {
    return new JobAnswer(key, refusal.code(), refusal.message(), List.of());
  }

  /** Tells whether the answer is complete. */
  public boolean isComplete() {
    return code == ResultCode.COMPLETE;
  }
}
