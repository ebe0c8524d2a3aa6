package org.cassiastack.job;

import org.cassiastack.controller.Effect;

/**
 * Effect: reports the state of a job to a caller.
 *
 * @param caller the caller that requested the state
 * @param state the state of the job
 * @since 0.1
 */
public record ReportJobState(CallerRequestId caller, JobState state) implements Effect {}
