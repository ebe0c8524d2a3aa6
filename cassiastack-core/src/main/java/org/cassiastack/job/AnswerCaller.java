package org.cassiastack.job;

import org.cassiastack.controller.Effect;
import org.cassiastack.model.JobAnswer;

/**
 * Effect: sends the answer of a job to a caller. The answer holds the results of all tasks or none.
 *
 * @param requestId the request that the answer belongs to
 * @param answer the results of all tasks, or the reason why the job failed
 * @since 0.1
 */
public record AnswerCaller(CallerRequestId requestId, JobAnswer answer) implements Effect {}
