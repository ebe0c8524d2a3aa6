package org.cassiastack.schedule.internal;

import org.jspecify.annotations.Nullable;

/**
 * Decision of a {@link Placer} on the next task of a step.
 *
 * @param worker worker that the task starts on, or null if the task has to wait
 * @param demandMet whether a worker has free capacity and every label for the demand of the step;
 *     if not, no step of an equal demand can start either
 */
record Placement(@Nullable WorkerState worker, boolean demandMet) {
  /** The task waits, and so does every task of an equal demand. */
  static final Placement DEMAND_NOT_MET = new Placement(null, false);

  /** The task waits for a reason of its own step; another step of an equal demand may start. */
  static final Placement WAIT = new Placement(null, true);

  static Placement on(WorkerState worker) {
    return new Placement(worker, true);
  }
}
