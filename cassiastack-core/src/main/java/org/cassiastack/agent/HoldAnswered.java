package org.cassiastack.agent;

import java.util.List;
import org.cassiastack.controller.Event;
import org.cassiastack.runs.ActiveRun;
import org.cassiastack.runs.EndedRun;

/**
 * Event: the minion has answered a {@link CallHold}.
 *
 * @param number number of the hold call
 * @param clockMillis reading of the minion's clock in the answer
 * @param running runs that the minion is executing
 * @param ended runs that have ended and are not acknowledged, by ascending sequence number; the
 *     first of them if the minion has more than it lists in one answer
 * @param allEndsListed whether {@code ended} is known to contain every such run
 * @since 0.2
 */
public record HoldAnswered(
    long number,
    long clockMillis,
    List<ActiveRun> running,
    List<EndedRun> ended,
    boolean allEndsListed)
    implements Event {
  /** Creates an answer; the lists are copied. */
  public HoldAnswered {
    running = List.copyOf(running);
    ended = List.copyOf(ended);
  }
}
