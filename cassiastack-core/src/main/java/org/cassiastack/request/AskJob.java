package org.cassiastack.request;

/**
 * A caller requests the phase of a job or, if the path names no job, the number of jobs of the
 * queue that have not started.
 *
 * @param requestId identity of the request
 * @param address address of the queue, with the identity of the job at the end of the path
 * @since 0.2
 */
public record AskJob(long requestId, QueueAddress address) implements LeaderRequest {}
