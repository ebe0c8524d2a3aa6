package org.cassiastack.job;

import org.cassiastack.model.JobAnswer;
import org.cassiastack.model.JobKey;
import org.jspecify.annotations.Nullable;

/**
 * What a coordinator knows of a job.
 *
 * @param key the job
 * @param tasks number of its tasks, 0 for an unknown job
 * @param endedTasks number of its tasks that ended
 * @param answer the answer, or null while the job runs
 * @since 0.1
 */
public record JobState(JobKey key, int tasks, int endedTasks, @Nullable JobAnswer answer) {}
