package org.cassiastack.request;

/**
 * A caller asks for the phase of a job or, where the path names no job, for the number of jobs of
 * the queue that wait.
 *
 * @param requestId identity of the request
 * @param address the queue, and the job at the end of the path
 * @since 0.2
 */
public record AskJob(long requestId, QueueAddress address) implements LeaderRequest {}
