package org.cassiastack.runs;

/**
 * A run that the minion is executing.
 *
 * @param run identity of the run
 * @param progressPercent share of the run's work that is done, 0 to 100
 * @since 0.2
 */
public record ActiveRun(RunId run, int progressPercent) {}
