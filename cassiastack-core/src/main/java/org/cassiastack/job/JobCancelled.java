package org.cassiastack.job;

import org.cassiastack.controller.Event;
import org.cassiastack.model.Customer;
import org.cassiastack.model.JobKey;

/**
 * A caller cancels a job and waits for the answer of the job.
 *
 * @param requestId the request that waits for the answer
 * @param customer the customer that the caller acts for
 * @param key key of the job to cancel
 * @since 0.1
 */
public record JobCancelled(CallerRequestId requestId, Customer customer, JobKey key)
    implements Event {}
