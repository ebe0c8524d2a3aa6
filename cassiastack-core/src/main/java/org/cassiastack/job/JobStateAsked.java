package org.cassiastack.job;

import org.cassiastack.controller.Event;
import org.cassiastack.model.Customer;
import org.cassiastack.model.JobKey;

/**
 * A caller asks what is known of a job.
 *
 * @param caller who waits for the {@link JobState}
 * @param customer whom the caller acts for
 * @param key the job
 * @since 0.1
 */
public record JobStateAsked(CallerId caller, Customer customer, JobKey key) implements Event {}
