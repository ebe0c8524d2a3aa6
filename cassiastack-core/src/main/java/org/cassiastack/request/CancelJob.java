package org.cassiastack.request;

/**
 * A caller cancels a job.
 *
 * @param requestId identity of the request
 * @param address address whose last path segment is the identity of the job
 * @since 0.2
 */
public record CancelJob(long requestId, QueueAddress address) implements LeaderRequest {}
