package org.cassiastack.request;

/**
 * An operator requests the document of the configuration in force.
 *
 * @param requestId identity of the request
 * @since 0.2
 */
public record AskQueueConfiguration(long requestId) implements LeaderRequest {}
