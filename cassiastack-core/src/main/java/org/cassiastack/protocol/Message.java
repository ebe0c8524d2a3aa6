package org.cassiastack.protocol;

/**
 * A message between two processes of the system. Messages are records, and the transport defines
 * their encoding.
 *
 * @since 0.1
 */
public interface Message {}
