package org.cassiastack.job;

/**
 * Identity of one caller that waits for an answer, unique within a process.
 *
 * @param value number of the wait
 * @since 0.1
 */
public record CallerId(long value) {}
