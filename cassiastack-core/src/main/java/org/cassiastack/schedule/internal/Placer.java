package org.cassiastack.schedule.internal;

import java.time.Instant;
import java.util.Set;
import org.cassiastack.model.NodeId;

/** Policy that chooses the worker for the next task of a step. */
@FunctionalInterface
interface Placer {
  /**
   * Chooses the worker for the next task of a step.
   *
   * @param step step of which the next waiting task is placed
   * @param workers workers that accept tasks of the step's service
   * @param avoided agents whose workers must not be chosen
   * @param now the current time
   * @return a worker with free capacity for the task, or why the task has to wait
   */
  Placement choose(LiveStep step, Candidates workers, Set<NodeId> avoided, Instant now);
}
