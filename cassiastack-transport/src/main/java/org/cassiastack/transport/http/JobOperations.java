package org.cassiastack.transport.http;

import org.cassiastack.job.JobState;
import org.cassiastack.model.Customer;
import org.cassiastack.model.JobAnswer;
import org.cassiastack.model.JobKey;
import reactor.core.publisher.Mono;

/**
 * Answers questions about jobs that were submitted, and cancels them.
 *
 * @since 0.1
 */
public interface JobOperations {
  /** Tells the state of a job. */
  Mono<JobState> state(Customer customer, JobKey key);

  /** Cancels a job and waits for its answer. */
  Mono<JobAnswer> cancel(Customer customer, JobKey key);
}
