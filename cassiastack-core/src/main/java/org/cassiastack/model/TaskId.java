package org.cassiastack.model;

/**
 * Identity of one task of a job.
 *
 * @param job the job
 * @param index position of the task in its job, from 0
 * @since 0.1
 */
public record TaskId(JobId job, int index) {
  @Override
  public String toString() {
    return job + "/" + index;
  }
}
