package org.cassiastack.agent;

import org.cassiastack.controller.Event;
import org.cassiastack.runs.RunId;

/**
 * What became of a {@link CallStart}.
 *
 * @param run the run
 * @param outcome what the minion answered
 * @since 0.2
 */
public record StartAnswered(RunId run, Outcome outcome) implements Event {
  /** What a minion answers to a start. */
  public enum Outcome {
    /** The run is there. */
    STARTED,
    /** The run was not started by this call. */
    REFUSED,
    /** No answer came; the run may have started, or may start until its deadline. */
    UNANSWERED
  }
}
