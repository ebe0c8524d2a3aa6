package org.cassiastack.job;

import org.cassiastack.controller.Event;
import org.cassiastack.model.Job;

/**
 * A caller submits a job and waits for its answer.
 *
 * @param caller who waits
 * @param job the job
 * @since 0.1
 */
public record JobSubmitted(CallerId caller, Job job) implements Event {}
