package org.cassiastack.job;

import org.cassiastack.controller.Effect;
import org.cassiastack.model.JobAnswer;

/**
 * Effect: sends the answer of a job, which is never partial, to a caller.
 *
 * @param caller the caller that waits for the answer
 * @param answer the answer, with every result or with the reason of the failure
 * @since 0.1
 */
public record AnswerCaller(CallerRequestId caller, JobAnswer answer) implements Effect {}
