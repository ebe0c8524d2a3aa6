package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import org.cassiastack.queue.Resources;
import org.cassiastack.runs.MinionProfile;
import org.jspecify.annotations.Nullable;

/**
 * Takes the worker where the task would end first; among equals the one with most room. A worker
 * whose runs are overdue counts as slower than its past says.
 */
final class FastestFit implements Placer {
  /** A task away from its data takes this many times as long, by the platform's figure of 1.5. */
  private static final double REMOTE_FACTOR = 1.5;

  /** Runs that take up to twice their estimate are no sign of a slow worker. */
  private static final double OVERDUE = 2;

  @Override
  public @Nullable WorkerState choose(LiveStep step, Collection<WorkerState> workers, Instant now) {
    Resources need = step.spec.need();
    WorkerState best = null;
    double bestSpeed = 0;
    for (WorkerState w : workers) {
      if (!w.free().covers(need) || !mayRun(step, w)) {
        continue;
      }
      double speed = speed(step, w, now);
      boolean equal = Math.abs(speed - bestSpeed) < 0.01;
      boolean roomier = best != null && equal && w.free().milliCpu() > best.free().milliCpu();
      if (best == null || roomier || (!equal && speed > bestSpeed)) {
        best = w;
        bestSpeed = speed;
      }
    }
    return best;
  }

  private static boolean mayRun(LiveStep step, WorkerState w) {
    MinionProfile m = w.minion;
    String label = step.spec.requiredLabel();
    if (m == null || (!label.isEmpty() && !m.labels().contains(label))) {
      return false;
    }
    int most = step.spec.mostPerMinion();
    return most == 0 || w.runs.values().stream().filter(r -> r.step == step).count() < most;
  }

  private static double speed(LiveStep step, WorkerState w, Instant now) {
    MinionProfile m = w.minion;
    String rack = step.spec.dataRack();
    boolean remote = !rack.isEmpty() && m != null && !m.labels().contains(rack);
    double speed = w.speed.value() / Math.max(1, overdue(w, now));
    return remote ? speed / REMOTE_FACTOR : speed;
  }

  /** Returns how many times longer than expected the slowest run has taken so far. */
  private static double overdue(WorkerState w, Instant now) {
    double most = 0;
    for (Run r : w.runs.values()) {
      LiveStep step = r.step;
      if (step != null) {
        double expected = step.work.toNanos() / w.speed.value();
        double taken = Duration.between(r.orderedAt, now).toNanos();
        most = Math.max(most, taken / expected);
      }
    }
    return most > OVERDUE ? most : 1;
  }
}
