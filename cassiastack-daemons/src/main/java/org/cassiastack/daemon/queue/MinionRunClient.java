package org.cassiastack.daemon.queue;

import org.cassiastack.agent.CallHold;
import org.cassiastack.agent.CallStart;
import org.cassiastack.agent.CallStop;
import org.cassiastack.agent.StartAnswered;
import org.cassiastack.agent.StopAnswered;
import org.cassiastack.controller.Event;
import reactor.core.publisher.Mono;

/**
 * Makes an agent's calls to its minion. No call fails: what goes wrong is an answer.
 *
 * @since 0.2
 */
public interface MinionRunClient {
  /** Asks the minion to start a run. */
  Mono<StartAnswered> start(CallStart call);

  /** Asks the minion to stop a run. */
  Mono<StopAnswered> stop(CallStop call);

  /**
   * Asks the minion for its lists.
   *
   * @return {@link org.cassiastack.agent.HoldAnswered} or {@link org.cassiastack.agent.HoldFailed}
   */
  Mono<Event> hold(CallHold call);
}
