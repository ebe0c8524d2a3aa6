package org.cassiastack.desk;

/**
 * An operator asks for the newest configuration.
 *
 * @param call identity of the request
 * @since 0.2
 */
public record AskQueueConfiguration(long call) implements LeaderRequest {}
