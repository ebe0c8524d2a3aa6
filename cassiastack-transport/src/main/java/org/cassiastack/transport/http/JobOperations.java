package org.cassiastack.transport.http;

import org.cassiastack.job.JobState;
import org.cassiastack.model.Customer;
import org.cassiastack.model.JobAnswer;
import org.cassiastack.model.JobKey;
import reactor.core.publisher.Mono;

/**
 * Returns the states of submitted jobs, and cancels jobs.
 *
 * @since 0.1
 */
public interface JobOperations {
  /** Returns the state of a job. */
  Mono<JobState> state(Customer customer, JobKey key);

  /** Cancels a job and returns the answer to the job. */
  Mono<JobAnswer> cancel(Customer customer, JobKey key);
}
