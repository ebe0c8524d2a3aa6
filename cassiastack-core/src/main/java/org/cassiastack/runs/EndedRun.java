package org.cassiastack.runs;

/**
 * A run that has ended. The minion lists the run until the leader has acknowledged the end.
 *
 * @param sequence sequence number of the end within the minion's incarnation, from 1
 * @param run identity of the run
 * @param outcome how the run ended
 * @since 0.2
 */
public record EndedRun(long sequence, RunId run, RunOutcome outcome) {}
