package org.cassiastack.desk;

/**
 * A caller cancels a job.
 *
 * @param call identity of the request
 * @param address the queue, and the job at the end of the path
 * @since 0.2
 */
public record CancelJob(long call, QueueAddress address) implements LeaderRequest {}
