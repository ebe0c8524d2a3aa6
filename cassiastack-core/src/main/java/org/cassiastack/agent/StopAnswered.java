package org.cassiastack.agent;

import org.cassiastack.controller.Event;
import org.cassiastack.runs.RunId;

/**
 * Event: the outcome of a {@link CallStop}. A minion that has accepted a stop never starts the run
 * afterwards, even if it did not have the run.
 *
 * @param run the run
 * @param accepted whether the minion has accepted the stop
 * @param refusedFence fence of the call if the minion has refused it because it has seen a higher
 *     one, else 0
 * @since 0.2
 */
public record StopAnswered(RunId run, boolean accepted, long refusedFence) implements Event {
  /** Creates an outcome; a call that was accepted has no refused fence. */
  public StopAnswered {
    if (accepted && refusedFence > 0) {
      throw new IllegalArgumentException("accepted with refused fence " + refusedFence);
    }
  }

  /** Creates the outcome of a call that the minion did not refuse for its fence. */
  public StopAnswered(RunId run, boolean accepted) {
    this(run, accepted, 0);
  }

  /** Creates the outcome of a call that the minion has refused for its fence. */
  public static StopAnswered fenced(RunId run, long refusedFence) {
    return new StopAnswered(run, false, refusedFence);
  }
}
