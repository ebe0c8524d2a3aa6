package org.cassiastack.request;

/**
 * An operator asks for the newest configuration.
 *
 * @param requestId identity of the request
 * @since 0.2
 */
public record AskQueueConfiguration(long requestId) implements LeaderRequest {}
