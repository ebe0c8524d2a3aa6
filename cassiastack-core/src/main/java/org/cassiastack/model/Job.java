package org.cassiastack.model;

import java.time.Duration;
import java.util.List;

/**
 * A submission: tasks of one service that are answered together.
 *
 * @param key identity that the caller gave to it
 * @param customer whom the caller acts for
 * @param service the service whose minions run the tasks
 * @param timeout how long the caller waits from the moment of acceptance
 * @param idempotent whether a single request may be started again after it may have run
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
  /** Largest number of tasks of one job. */
  public static final int MAX_TASKS = 1_100;

  /** Makes a job; the list of tasks is copied. */
  public Job {
    tasks = List.copyOf(tasks);
  }

  /**
   * Tells whether another submission asks for the same work. The timeout does not count: a caller
   * that resubmits may have less time left.
   */
  public boolean sameContentAs(Job other) {
    return customer.equals(other.customer)
        && service.equals(other.service)
        && idempotent == other.idempotent
        && tasks.equals(other.tasks);
  }
}
