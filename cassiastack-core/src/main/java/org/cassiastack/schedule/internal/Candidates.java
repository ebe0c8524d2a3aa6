package org.cassiastack.schedule.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.cassiastack.queue.Resources;
import org.jspecify.annotations.Nullable;

/**
 * The workers of one service that accept tasks, during one placement round: one pass over the steps
 * that wait, or the search for another worker for one stalled run.
 *
 * <p>Under a backlog nearly all workers are full and most steps find no free capacity. A round
 * therefore examines only the workers whose free capacity covers the smallest need of the steps in
 * the round. The speed of a worker changes with its reports only, so it is constant during a round.
 */
final class Candidates {
  private final Resources minNeed;
  private final List<Candidate> all = new ArrayList<>();
  private final List<Candidate> withFreeCapacity = new ArrayList<>();
  private Resources maxFree = Resources.NONE;

  /** Results for each demand, until the free capacity changes. */
  private final Map<Demand, Fit> fits = new HashMap<>();

  /** Highest speeds for each demand, until a worker is removed. */
  private final Map<Demand, Double> maxSpeeds = new HashMap<>();

  private long examinedCount;

  private Candidates(Resources minNeed) {
    this.minNeed = minNeed;
  }

  /** Creates an empty set of candidates for tasks that each need at least the given resources. */
  static Candidates withMinNeed(Resources minNeed) {
    return new Candidates(minNeed);
  }

  void add(WorkerState worker) {
    Candidate c = new Candidate(worker);
    all.add(c);
    if (worker.free().covers(minNeed)) {
      withFreeCapacity.add(c);
      maxFree = maxFree.max(worker.free());
    }
  }

  void remove(WorkerState worker) {
    all.removeIf(c -> c.worker == worker);
    withFreeCapacity.removeIf(c -> c.worker == worker);
    maxSpeeds.clear();
    refresh();
  }

  /** Updates the free capacity after tasks were placed on workers. */
  void refresh() {
    withFreeCapacity.removeIf(c -> !c.worker.free().covers(minNeed));
    Resources free = Resources.NONE;
    for (Candidate c : withFreeCapacity) {
      free = free.max(c.worker.free());
    }
    maxFree = free;
    fits.clear();
  }

  /** Returns whether any worker has free capacity for the smallest need. */
  boolean hasFreeCapacity() {
    return !withFreeCapacity.isEmpty();
  }

  /**
   * Returns whether a worker may have free capacity for a need. False is definite; true is not,
   * because the maxima of the resources may belong to different workers.
   */
  boolean mayFit(Resources need) {
    return maxFree.covers(need);
  }

  /** Returns the workers with free capacity for the smallest need and counts them as examined. */
  List<Candidate> withFreeCapacity() {
    examinedCount += withFreeCapacity.size();
    return withFreeCapacity;
  }

  /** Returns all workers and counts them as examined. */
  List<Candidate> all() {
    examinedCount += all.size();
    return all;
  }

  /** Returns the best worker for a demand; searches only if the free capacity has changed. */
  Fit fit(Demand demand, Supplier<Fit> search) {
    return fits.computeIfAbsent(demand, d -> search.get());
  }

  /** Returns the highest speed of all workers for a demand; searches once for each demand. */
  double maxSpeed(Demand demand, DoubleSupplier search) {
    return maxSpeeds.computeIfAbsent(demand, d -> search.getAsDouble());
  }

  /** Returns the number of workers examined; a worker counts once per examination. */
  long examinedCount() {
    return examinedCount;
  }

  /**
   * The best of the workers with free capacity for a task.
   *
   * @param best the best worker, or null if none may run the task
   * @param speed speed of that worker
   * @param demandMet whether any worker has free capacity and every label that the task demands
   */
  record Fit(@Nullable WorkerState best, double speed, boolean demandMet) {}

  /** A worker with its speed in this round. */
  static final class Candidate {
    final WorkerState worker;

    private Candidate(WorkerState worker) {
      this.worker = worker;
    }

    double speed() {
      return worker.currentSpeed();
    }
  }
}
