package org.cassiastack.queue;

import org.jspecify.annotations.Nullable;

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

  // Spelled out, because the generated methods are linked at the first use, which delays each
  // start.
  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof QueuedTaskId o
        && index == o.index
        && step == o.step
        && occurrence == o.occurrence
        && job.equals(o.job);
  }

  @Override
  public int hashCode() {
    return ((job.hashCode() * 31 + occurrence) * 31 + step) * 31 + index;
  }
}
