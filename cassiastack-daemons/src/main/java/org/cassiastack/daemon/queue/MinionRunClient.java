package org.cassiastack.daemon.queue;

import org.cassiastack.agent.CallHold;
import org.cassiastack.agent.CallStart;
import org.cassiastack.agent.CallStop;
import org.cassiastack.agent.StartAnswered;
import org.cassiastack.agent.StopAnswered;
import org.cassiastack.controller.Event;
import reactor.core.publisher.Mono;

/**
 * Makes an agent's calls to its minion. The returned {@code Mono}s do not end with an error: a
 * failed call is reported as an answer.
 *
 * @since 0.2
 */
public interface MinionRunClient {
  /** Makes the call that starts a run. */
  Mono<StartAnswered> start(CallStart call);

  /** Makes the call that stops a run. */
  Mono<StopAnswered> stop(CallStop call);

  /**
   * Makes the call that returns the lists of the running and ended runs of the minion. The call is
   * a long poll and extends the lease of the runs.
   *
   * @return {@link org.cassiastack.agent.HoldAnswered} or {@link org.cassiastack.agent.HoldFailed}
   */
  Mono<Event> hold(CallHold call);
}
