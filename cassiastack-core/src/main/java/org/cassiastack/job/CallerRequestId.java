package org.cassiastack.job;

/**
 * Identity of one waiting request of a caller, unique within a process.
 *
 * @param value number that the process assigns to the request
 * @since 0.1
 */
public record CallerRequestId(long value) {}
