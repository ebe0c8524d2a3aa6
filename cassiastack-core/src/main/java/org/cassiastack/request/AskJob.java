package org.cassiastack.request;

/**
 * A caller requests the phase of a job or, if the path of the address consists of the queue's path
 * prefix alone, the number of jobs of the queue that have not started.
 *
 * @param requestId identity of the request
 * @param address address whose path is the queue's path prefix, followed by the identity of the job
 *     unless the number of jobs is requested
 * @since 0.2
 */
public record AskJob(long requestId, QueueAddress address) implements LeaderRequest {}
