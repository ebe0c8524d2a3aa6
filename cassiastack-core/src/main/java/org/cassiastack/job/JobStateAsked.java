package org.cassiastack.job;

import org.cassiastack.controller.Event;
import org.cassiastack.model.Customer;
import org.cassiastack.model.JobKey;

/**
 * A caller requests the state of a job.
 *
 * @param requestId the request that waits for the {@link JobState}
 * @param customer the customer that the caller acts for
 * @param key key of the job
 * @since 0.1
 */
public record JobStateAsked(CallerRequestId requestId, Customer customer, JobKey key)
    implements Event {}
