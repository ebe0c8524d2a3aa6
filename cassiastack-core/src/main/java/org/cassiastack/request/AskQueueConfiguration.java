package org.cassiastack.request;

/**
 * An operator requests the document of the configuration in force, or a node requests the {@link
 * DomainRevision} that the leader states with it.
 *
 * @param requestId identity of the request
 * @since 0.2
 */
public record AskQueueConfiguration(long requestId) implements LeaderRequest {}
