package org.cassiastack.job;

import org.cassiastack.controller.Effect;

/**
 * The effect of telling a caller the state of a job.
 *
 * @param caller who waits
 * @param state the state
 * @since 0.1
 */
public record ReportJobState(CallerId caller, JobState state) implements Effect {}
