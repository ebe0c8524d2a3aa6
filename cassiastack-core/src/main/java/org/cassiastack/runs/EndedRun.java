package org.cassiastack.runs;

/**
 * A run that has ended and that its minion lists until the end is acknowledged.
 *
 * @param sequence number of the end in the life of the minion, from 1
 * @param run the run
 * @param outcome how it ended
 * @since 0.2
 */
public record EndedRun(long sequence, RunId run, RunOutcome outcome) {}
