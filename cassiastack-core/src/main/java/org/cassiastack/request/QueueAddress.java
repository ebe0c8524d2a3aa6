package org.cassiastack.request;

/**
 * Address of a caller's request. The configuration in force determines which queue the address
 * belongs to.
 *
 * @param host host name in the request, in lower case and without port
 * @param path path of the request
 * @since 0.2
 */
public record QueueAddress(String host, String path) {}
