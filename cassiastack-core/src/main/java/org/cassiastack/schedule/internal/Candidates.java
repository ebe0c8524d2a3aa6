package org.cassiastack.schedule.internal;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.cassiastack.queue.Resources;

/**
 * The workers of one service that may take work, as one round of placing sees them.
 *
 * <p>Under a backlog nearly all are full and most steps find no room. So the steps of a round only
 * look at the workers that have room for the smallest need among them; and the speed of a worker,
 * which runs that start in the round do not change, is found out once.
 */
final class Candidates {
  private final Resources least;
  private final List<Candidate> all = new ArrayList<>();
  private final List<Candidate> withRoom = new ArrayList<>();
  private Resources most = Resources.NONE;
  private double maxSpeed = Candidate.UNKNOWN;
  private long examinedCount;

  private Candidates(Resources least) {
    this.least = least;
  }

  /** Makes an empty set for tasks of which each needs at least so much. */
  static Candidates withMinNeed(Resources least) {
    return new Candidates(least);
  }

  void add(WorkerState worker) {
    Candidate c = new Candidate(worker);
    all.add(c);
    if (worker.free().covers(least)) {
      withRoom.add(c);
      most = most.max(worker.free());
    }
  }

  void remove(WorkerState worker) {
    all.removeIf(c -> c.worker == worker);
    withRoom.removeIf(c -> c.worker == worker);
    maxSpeed = Candidate.UNKNOWN;
    refresh();
  }

  /** Takes note that workers have less room than before. */
  void refresh() {
    withRoom.removeIf(c -> !c.worker.free().covers(least));
    Resources free = Resources.NONE;
    for (Candidate c : withRoom) {
      free = free.max(c.worker.free());
    }
    most = free;
  }

  /** Tells whether any worker may have room; a false answer is sure. */
  boolean mayHaveRoom(Resources need) {
    return most.covers(need);
  }

  /** Returns the workers that have room for the smallest need, for a look at each of them. */
  List<Candidate> withRoom() {
    examinedCount += withRoom.size();
    return withRoom;
  }

  /** Returns the workers, for a look at each of them. */
  List<Candidate> all() {
    examinedCount += all.size();
    return all;
  }

  /** Returns the highest speed of all workers. */
  double maxSpeed(Instant now) {
    if (maxSpeed == Candidate.UNKNOWN) {
      maxSpeed = all().stream().mapToDouble(c -> c.speed(now)).max().orElse(0);
    }
    return maxSpeed;
  }

  /** Returns how many workers were looked at. */
  long examinedCount() {
    return examinedCount;
  }

  /** One worker with its speed in this round. */
  static final class Candidate {
    private static final double UNKNOWN = -1;

    final WorkerState worker;
    private double speed = UNKNOWN;

    private Candidate(WorkerState worker) {
      this.worker = worker;
    }

    double speed(Instant now) {
      if (speed == UNKNOWN) {
        speed = worker.currentSpeed(now);
      }
      return speed;
    }
  }
}
