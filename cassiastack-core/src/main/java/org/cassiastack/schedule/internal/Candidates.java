package org.cassiastack.schedule.internal;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.cassiastack.queue.Resources;

/**
 * The workers of one service that accept tasks, during one placement round: one pass over the steps
 * that wait, or the search for another worker for one stalled run.
 *
 * <p>Under a backlog nearly all workers are full and most steps find no free capacity. A round
 * therefore examines only the workers whose free capacity covers the smallest need of the steps in
 * the round. The speed of a worker is computed once per round, because runs that start in the round
 * do not change it.
 */
final class Candidates {
  private final Resources minNeed;
  private final List<Candidate> all = new ArrayList<>();
  private final List<Candidate> withFreeCapacity = new ArrayList<>();
  private Resources maxFree = Resources.NONE;
  private double maxSpeed = Candidate.UNKNOWN_SPEED;
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
    maxSpeed = Candidate.UNKNOWN_SPEED;
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

  /** Returns the highest speed of all workers; 0 when there are none. */
  double maxSpeed(Instant now) {
    if (maxSpeed == Candidate.UNKNOWN_SPEED) {
      maxSpeed = all().stream().mapToDouble(c -> c.speed(now)).max().orElse(0);
    }
    return maxSpeed;
  }

  /** Returns the number of workers examined; a worker counts once per examination. */
  long examinedCount() {
    return examinedCount;
  }

  /** A worker with its speed in this round. */
  static final class Candidate {
    private static final double UNKNOWN_SPEED = -1;

    final WorkerState worker;
    private double speed = UNKNOWN_SPEED;

    private Candidate(WorkerState worker) {
      this.worker = worker;
    }

    double speed(Instant now) {
      if (speed == UNKNOWN_SPEED) {
        speed = worker.currentSpeed(now);
      }
      return speed;
    }
  }
}
