package org.cassiastack.schedule;

import java.time.Duration;

/**
 * Processing time of the leader's thread for an event.
 *
 * @param perEvent time for each event
 * @param perCandidate time for each worker that is examined to place tasks
 */
record LeaderCost(Duration perEvent, Duration perCandidate) {
  static final LeaderCost ZERO = new LeaderCost(Duration.ZERO, Duration.ZERO);

  Duration cost(long candidatesExamined) {
    return perEvent.plus(perCandidate.multipliedBy(candidatesExamined));
  }
}
