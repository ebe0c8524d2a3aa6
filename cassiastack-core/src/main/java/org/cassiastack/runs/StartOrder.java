package org.cassiastack.runs;

/**
 * The order to start a run.
 *
 * @param run the run
 * @param spec what to run, opaque here
 * @since 0.2
 */
public record StartOrder(RunId run, String spec) {}
