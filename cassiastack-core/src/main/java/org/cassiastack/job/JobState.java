package org.cassiastack.job;

import org.cassiastack.model.JobAnswer;
import org.cassiastack.model.JobKey;
import org.jspecify.annotations.Nullable;

/**
 * State of a job as its coordinator reports it.
 *
 * @param key key of the job
 * @param tasks number of tasks of the job; 0 for a failed or unknown job
 * @param endedTasks number of tasks that have a result; 0 for a failed or unknown job
 * @param answer the answer, or null while the job is running; a failure for an unknown job
 * @since 0.1
 */
public record JobState(JobKey key, int tasks, int endedTasks, @Nullable JobAnswer answer) {}
