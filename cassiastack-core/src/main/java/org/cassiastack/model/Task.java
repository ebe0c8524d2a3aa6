package org.cassiastack.model;

/**
 * One unit of work of a job.
 *
 * @param index position in the job, from 0
 * @param payload opaque input for the minion
 * @since 0.1
 */
public record Task(int index, Payload payload) {}
