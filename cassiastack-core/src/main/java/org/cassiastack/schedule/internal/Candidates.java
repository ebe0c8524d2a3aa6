package org.cassiastack.schedule.internal;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.cassiastack.queue.Resources;

/**
 * The workers of one service that may take work, as one round of placing sees them.
 *
 * <p>The speed of a worker is found out once a round: runs that start in it do not change it. The
 * most that any worker has free tells of most steps of a backlog that none can take them, without a
 * look at the workers.
 */
final class Candidates {
  private final List<Candidate> all = new ArrayList<>();
  private Resources most = Resources.NONE;
  private long looks;

  void add(WorkerState worker) {
    all.add(new Candidate(worker));
    most = most.max(worker.free());
  }

  void remove(WorkerState worker) {
    all.removeIf(c -> c.worker == worker);
    refresh();
  }

  /** Takes note that workers have less room than before. */
  void refresh() {
    Resources free = Resources.NONE;
    for (Candidate c : all) {
      free = free.max(c.worker.free());
    }
    most = free;
  }

  /** Tells whether any worker may have room; a false answer is sure. */
  boolean mayHaveRoom(Resources need) {
    return most.covers(need);
  }

  /** Returns the workers, for a look at each of them. */
  List<Candidate> look() {
    looks += all.size();
    return all;
  }

  /** Returns how many workers were looked at. */
  long looks() {
    return looks;
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
        speed = worker.presentSpeed(now);
      }
      return speed;
    }
  }
}
