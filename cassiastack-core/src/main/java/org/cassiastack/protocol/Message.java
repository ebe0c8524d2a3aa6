package org.cassiastack.protocol;

/**
 * A message between two processes of the system. Messages are records; how they are encoded is the
 * transport's concern.
 *
 * @since 0.1
 */
public interface Message {}
