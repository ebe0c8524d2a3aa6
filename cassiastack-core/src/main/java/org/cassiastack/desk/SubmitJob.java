package org.cassiastack.desk;

import java.time.Duration;
import org.cassiastack.queue.QueuedJob;

/**
 * A caller hands in a job.
 *
 * @param call identity of the request
 * @param address the queue that is meant
 * @param job the job
 * @param patience how much longer the caller waits for an answer
 * @since 0.2
 */
public record SubmitJob(long call, QueueAddress address, QueuedJob job, Duration patience)
    implements LeaderRequest {}
