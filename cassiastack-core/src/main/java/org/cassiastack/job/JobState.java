package org.cassiastack.job;

import org.cassiastack.model.JobAnswer;
import org.cassiastack.model.JobKey;
import org.jspecify.annotations.Nullable;

/**
 * State of a job as seen by its coordinator.
 *
 * @param key key of the job
 * @param tasks number of tasks of the job; 0 for an unknown job
 * @param endedTasks number of tasks that have ended
 * @param answer the answer, or null while the job is running
 * @since 0.1
 */
public record JobState(JobKey key, int tasks, int endedTasks, @Nullable JobAnswer answer) {}
