package org.cassiastack.limit;

import java.time.Duration;
import org.cassiastack.model.Job;
import org.cassiastack.model.Refusal;
import org.cassiastack.model.Refusals;
import org.jspecify.annotations.Nullable;

/**
 * Refuses a job at once that would most likely pass its deadline in the queue.
 *
 * @since 0.1
 */
public final class DeadlineAdmission {
  private static final double LARGEST_PART_OF_TIMEOUT = 0.3;

  private DeadlineAdmission() {}

  /**
   * Decides on a new job.
   *
   * @param job the job
   * @param ahead number of tasks that go before its last task
   * @param tasksPerSecond observed rate at which the service works off tasks; 0 when not known
   */
  public static @Nullable Refusal refusalOf(Job job, int ahead, double tasksPerSecond) {
    if (tasksPerSecond <= 0) {
      return null;
    }
    double seconds = (ahead + job.tasks().size()) / tasksPerSecond;
    double allowed = job.timeout().toNanos() / 1e9 * LARGEST_PART_OF_TIMEOUT;
    if (ahead == 0 || seconds <= allowed) {
      return null;
    }
    return Refusals.overloaded(job.service(), Duration.ofMillis((long) (seconds * 1e3)));
  }
}
