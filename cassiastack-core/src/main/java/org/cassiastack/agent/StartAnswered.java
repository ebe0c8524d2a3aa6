package org.cassiastack.agent;

import org.cassiastack.controller.Event;
import org.cassiastack.runs.RunId;

/**
 * Event: the outcome of a {@link CallStart}.
 *
 * @param run the run
 * @param outcome the minion's answer, or that no answer came
 * @since 0.2
 */
public record StartAnswered(RunId run, Outcome outcome) implements Event {
  /** Outcome of a start. */
  public enum Outcome {
    /** The minion has the run. */
    STARTED,
    /** This call did not start the run. */
    REFUSED,
    /** This call did not start the run, because the minion has seen a higher fence. */
    FENCED,
    /** No answer came; the run may have started, or may start until its deadline. */
    UNANSWERED
  }
}
