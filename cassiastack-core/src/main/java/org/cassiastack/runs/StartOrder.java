package org.cassiastack.runs;

/**
 * Order to start a run.
 *
 * @param run identity of the run to start
 * @param spec the job's specification for the minion; not interpreted by leader and agents
 * @since 0.2
 */
public record StartOrder(RunId run, String spec) {}
