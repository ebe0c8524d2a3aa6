package org.cassiastack.protocol;

/**
 * Sent on a connection that has been idle, so that the other end sees that it still works.
 *
 * @param sequence grows by one with each ping of a connection
 * @since 0.1
 */
public record Ping(long sequence) implements Message {}
