package org.cassiastack.agent;

import java.util.List;
import org.cassiastack.controller.Event;
import org.cassiastack.runs.ActiveRun;
import org.cassiastack.runs.EndedRun;

/**
 * A minion has answered a {@link CallHold}.
 *
 * @param number number of the call
 * @param clockMillis the minion's clock
 * @param running what is at work
 * @param ended what has ended and is not acknowledged, by rising number
 * @since 0.2
 */
public record HoldAnswered(
    long number, long clockMillis, List<ActiveRun> running, List<EndedRun> ended) implements Event {
  /** Makes an answer; the lists are copied. */
  public HoldAnswered {
    running = List.copyOf(running);
    ended = List.copyOf(ended);
  }
}
