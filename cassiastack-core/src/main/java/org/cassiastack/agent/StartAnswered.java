package org.cassiastack.agent;

import org.cassiastack.controller.Event;
import org.cassiastack.runs.RunId;

/**
 * Event: the outcome of a {@link CallStart}.
 *
 * @param run the run
 * @param outcome the minion's answer, or that no answer came
 * @param refusedFence fence of the call if the minion has refused it because it has seen a higher
 *     one, else 0
 * @since 0.2
 */
public record StartAnswered(RunId run, Outcome outcome, long refusedFence) implements Event {
  /** Creates an outcome; a fence is given for {@link Outcome#FENCED} only. */
  public StartAnswered {
    if ((outcome == Outcome.FENCED) != (refusedFence > 0)) {
      throw new IllegalArgumentException(outcome + " with refused fence " + refusedFence);
    }
  }

  /** Creates the outcome of a call that the minion did not refuse for its fence. */
  public StartAnswered(RunId run, Outcome outcome) {
    this(run, outcome, 0);
  }

  /** Creates the outcome of a call that the minion has refused for its fence. */
  public static StartAnswered fenced(RunId run, long refusedFence) {
    return new StartAnswered(run, Outcome.FENCED, refusedFence);
  }

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
