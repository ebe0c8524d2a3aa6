package org.cassiastack.schedule.internal;

import java.time.Instant;
import java.util.Collection;
import org.jspecify.annotations.Nullable;

/** Chooses where the next task of a step starts. */
@FunctionalInterface
interface Placer {
  /**
   * Chooses a worker.
   *
   * @param step the step
   * @param workers workers that may be given work of the step's service
   * @param now the present time
   * @return a worker with room for the task, or null when there is none
   */
  @Nullable WorkerState choose(LiveStep step, Collection<WorkerState> workers, Instant now);
}
