package org.cassiastack.queue;

/**
 * Identity of one task of a queued job.
 *
 * @param job identity of the job
 * @param occurrence number of the repetition of the job, from 0; leaders start only tasks of
 *     occurrence 0
 * @param step number of the step, from 0
 * @param index number of the task within its step, from 0
 * @since 0.2
 */
public record QueuedTaskId(QueuedJobId job, int occurrence, int step, int index) {
  @Override
  public String toString() {
    return job + "." + occurrence + "." + step + "." + index;
  }
}
