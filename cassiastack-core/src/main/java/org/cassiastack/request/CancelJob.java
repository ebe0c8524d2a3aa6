package org.cassiastack.request;

/**
 * A caller cancels a job.
 *
 * @param requestId identity of the request
 * @param address address of the queue, with the identity of the job at the end of the path
 * @since 0.2
 */
public record CancelJob(long requestId, QueueAddress address) implements LeaderRequest {}
