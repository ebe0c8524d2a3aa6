package org.cassiastack.model;

import java.time.Duration;
import java.util.List;

/**
 * Tasks of one service that are submitted together and get one answer.
 *
 * @param key identity that the caller assigned to the job
 * @param customer the customer on whose behalf the caller submits the job
 * @param service the service whose minions run the tasks
 * @param timeout how long the caller waits, counted from the acceptance of the job
 * @param idempotent whether the caller permits that a task that may already have run is started
 *     again
 * @param tasks 1 to {@link #MAX_TASKS} tasks, in order
 * @since 0.1
 */
public record Job(
    JobKey key,
    Customer customer,
    ServiceName service,
    Duration timeout,
    boolean idempotent,
    List<Task> tasks) {
  /** Maximum number of tasks of one job. */
  public static final int MAX_TASKS = 1_100;

  /** Creates a job; the list of tasks is copied. */
  public Job {
    tasks = List.copyOf(tasks);
  }

  /**
   * Returns whether another submission requests the same work. The timeout is not compared, because
   * a caller that resubmits a job may have less time left.
   */
  public boolean sameContentAs(Job other) {
    return customer.equals(other.customer)
        && service.equals(other.service)
        && idempotent == other.idempotent
        && tasks.equals(other.tasks);
  }
}
