package org.cassiastack.limit;

import java.time.Duration;
import org.cassiastack.model.Job;
import org.cassiastack.model.Refusal;
import org.cassiastack.model.Refusals;
import org.jspecify.annotations.Nullable;

/**
 * Refuses a new job immediately if the expected time to complete its tasks and the queued tasks
 * ahead exceeds a fraction of its timeout, because the job would probably pass its deadline while
 * its tasks are queued.
 *
 * @since 0.1
 */
public final class DeadlineAdmission {
  private static final double MAX_TIMEOUT_FRACTION = 0.3;

  private DeadlineAdmission() {}

  /**
   * Decides on the admission of a new job. A job without queued tasks ahead is always admitted.
   *
   * @param job the new job
   * @param ahead number of queued tasks that would be dispatched before the last task of the job
   * @param tasksPerSecond observed rate at which the service completes tasks; 0 if not known
   * @return the reason of the refusal, or null if the job is admitted
   */
  public static @Nullable Refusal refusalOf(Job job, int ahead, double tasksPerSecond) {
    if (tasksPerSecond <= 0) {
      return null;
    }
    double seconds = (ahead + job.tasks().size()) / tasksPerSecond;
    double allowedSeconds = job.timeout().toNanos() / 1e9 * MAX_TIMEOUT_FRACTION;
    if (ahead == 0 || seconds <= allowedSeconds) {
      return null;
    }
    return Refusals.overloaded(job.service(), Duration.ofMillis((long) (seconds * 1e3)));
  }
}
