package org.cassiastack.request;

/**
 * Where a caller's request went; the configuration in force tells the queue.
 *
 * @param host the host that the request names, in lower case and without port
 * @param path its path
 * @since 0.2
 */
public record QueueAddress(String host, String path) {}
