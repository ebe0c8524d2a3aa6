package org.cassiastack.job;

import org.cassiastack.controller.Effect;
import org.cassiastack.model.JobAnswer;

/**
 * The effect of giving a caller the whole answer.
 *
 * @param caller who waits
 * @param answer the answer
 * @since 0.1
 */
public record AnswerCaller(CallerId caller, JobAnswer answer) implements Effect {}
