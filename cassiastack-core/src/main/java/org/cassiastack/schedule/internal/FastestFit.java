package org.cassiastack.schedule.internal;

import java.time.Instant;
import java.util.Collection;
import org.cassiastack.runs.MinionProfile;
import org.jspecify.annotations.Nullable;

/**
 * Takes the worker where the task would end first; among equals the one with most room. Where a
 * task would end too late, although another worker would end it in time once it has room, the task
 * waits: a job is as late as the last of its tasks, so one slow worker would spoil most jobs.
 */
final class FastestFit implements Placer {
  /** A task away from its data takes this many times as long, by the platform's figure of 1.5. */
  private static final double REMOTE_FACTOR = 1.5;

  /** Speeds that differ by less count as equal. */
  private static final double SAME_SPEED = 0.01;

  @Override
  public @Nullable WorkerState choose(LiveStep step, Collection<WorkerState> workers, Instant now) {
    Instant limit = step.job.limit(step.job.lateness(step, now));
    WorkerState best = null;
    double bestSpeed = 0;
    double fastest = 0;
    for (WorkerState w : workers) {
      if (!mayRun(step, w)) {
        continue;
      }
      double speed = speed(step, w, now);
      fastest = Math.max(fastest, speed);
      if (!w.free().covers(step.spec.need())) {
        continue;
      }
      boolean equal = Math.abs(speed - bestSpeed) < SAME_SPEED;
      boolean roomier = best != null && equal && w.free().milliCpu() > best.free().milliCpu();
      if (best == null || roomier || (!equal && speed > bestSpeed)) {
        best = w;
        bestSpeed = speed;
      }
    }
    boolean tooSlow = best != null && step.doneIfStarted(now, bestSpeed).isAfter(limit);
    boolean worthWaiting = tooSlow && !step.doneIfStarted(now, fastest).isAfter(limit);
    return worthWaiting ? null : best;
  }

  private static double speed(LiveStep step, WorkerState w, Instant now) {
    MinionProfile m = w.minion;
    String rack = step.spec.dataRack();
    boolean remote = !rack.isEmpty() && m != null && !m.labels().contains(rack);
    double speed = w.presentSpeed(now);
    return remote ? speed / REMOTE_FACTOR : speed;
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
}
