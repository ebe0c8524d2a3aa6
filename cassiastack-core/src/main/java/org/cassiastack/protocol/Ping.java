package org.cassiastack.protocol;

/**
 * Sent on a connection on which nothing was sent for a while, to show the other end that the
 * connection still works.
 *
 * @param sequence sequence number of the ping, which grows by one within a connection
 * @since 0.1
 */
public record Ping(long sequence) implements Message {}
