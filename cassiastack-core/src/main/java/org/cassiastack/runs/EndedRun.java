package org.cassiastack.runs;

import org.jspecify.annotations.Nullable;

/**
 * A run that has ended. The minion lists the run until the leader has acknowledged the end.
 *
 * @param sequence sequence number of the end within the minion's incarnation, from 1
 * @param run identity of the run
 * @param outcome how the run ended
 * @since 0.2
 */
public record EndedRun(long sequence, RunId run, RunOutcome outcome) {
  // Spelled out, because the generated methods are linked at the first use, which delays each
  // start.
  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof EndedRun o
        && sequence == o.sequence
        && outcome == o.outcome
        && run.equals(o.run);
  }

  @Override
  public int hashCode() {
    return run.hashCode() * 31 + Long.hashCode(sequence);
  }
}
