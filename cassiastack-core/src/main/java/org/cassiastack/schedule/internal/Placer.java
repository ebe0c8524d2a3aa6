package org.cassiastack.schedule.internal;

import java.time.Instant;
import java.util.Set;
import org.cassiastack.model.NodeId;
import org.jspecify.annotations.Nullable;

/** Chooses where the next task of a step starts. */
@FunctionalInterface
interface Placer {
  /**
   * Chooses a worker.
   *
   * @param step the step
   * @param workers workers that may be given work of the step's service
   * @param avoided agents whose workers are not to be chosen
   * @param now the present time
   * @return a worker with room for the task, or null when there is none
   */
  @Nullable WorkerState choose(LiveStep step, Candidates workers, Set<NodeId> avoided, Instant now);
}
