package org.cassiastack.agent;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cassiastack.runs.ActiveRun;
import org.cassiastack.runs.EndedRun;
import org.cassiastack.runs.RunId;

/**
 * The run lists that a minion has returned last.
 *
 * @param running runs that the minion is executing
 * @param ended runs that have ended and whose end is not acknowledged
 * @param allEndsListed whether {@code ended} is known to contain every such run: a minion lists
 *     only so many ends at a time, and the others once these are acknowledged
 */
record RunLists(List<ActiveRun> running, List<EndedRun> ended, boolean allEndsListed) {
  /** The lists of a minion that has no runs. */
  static final RunLists EMPTY = new RunLists(List.of(), List.of(), true);

  static RunLists of(HoldAnswered h) {
    return new RunLists(h.running(), h.ended(), h.allEndsListed());
  }

  /** Returns these lists after the minion has certainly ended all runs. */
  RunLists withoutRuns() {
    return new RunLists(List.of(), ended, true);
  }

  /** Returns whether a run may be active, or may have ended without being listed. */
  boolean mayHaveRuns() {
    return !running.isEmpty() || !allEndsListed;
  }

  /** Returns whether other lists name the same runs; their progress may differ. */
  boolean hasSameRuns(RunLists other) {
    return runningIds().equals(other.runningIds()) && ended.equals(other.ended);
  }

  /** Returns the runs in both lists. */
  Set<RunId> runIds() {
    Set<RunId> ids = runningIds();
    ended.forEach(e -> ids.add(e.run()));
    return ids;
  }

  private Set<RunId> runningIds() {
    Set<RunId> ids = new HashSet<>();
    running.forEach(r -> ids.add(r.run()));
    return ids;
  }
}
