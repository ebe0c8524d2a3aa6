package org.cassiastack.job;

import org.cassiastack.controller.Effect;

/**
 * Effect: reports the state of a job to a caller.
 *
 * @param requestId the request that the state answers
 * @param state state of the job; for an unknown job, a state whose answer is a failure
 * @since 0.1
 */
public record ReportJobState(CallerRequestId requestId, JobState state) implements Effect {}
