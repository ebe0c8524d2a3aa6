package org.cassiastack.runs;

/**
 * A run that is at work.
 *
 * @param run the run
 * @param progressPercent share of its work that is done, 0 to 100
 * @since 0.2
 */
public record ActiveRun(RunId run, int progressPercent) {}
