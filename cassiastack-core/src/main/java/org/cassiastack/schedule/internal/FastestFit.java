package org.cassiastack.schedule.internal;

import java.time.Instant;
import java.util.Set;
import org.cassiastack.model.NodeId;
import org.cassiastack.queue.StepSpec;
import org.cassiastack.runs.MinionProfile;
import org.cassiastack.schedule.internal.Candidates.Candidate;
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
  public @Nullable WorkerState choose(
      LiveStep step, Candidates workers, Set<NodeId> avoided, Instant now) {
    if (!workers.mayHaveRoom(step.spec.need())) {
      return null;
    }
    Candidate best = null;
    double bestSpeed = 0;
    for (Candidate c : workers.withRoom()) {
      if (!c.worker.free().covers(step.spec.need()) || !mayRun(step, c.worker, avoided)) {
        continue;
      }
      double speed = speed(step, c, now);
      boolean equal = Math.abs(speed - bestSpeed) < SAME_SPEED;
      if (best == null || (equal ? isRoomier(c, best) : speed > bestSpeed)) {
        best = c;
        bestSpeed = speed;
      }
    }
    if (best == null) {
      return null;
    }
    Instant limit = step.job.latestUsefulEnd(step.job.lateness(step, now));
    boolean tooSlow = step.estimatedEnd(now, bestSpeed).isAfter(limit);
    return tooSlow && isWorthWaiting(step, workers, avoided, limit, now) ? null : best.worker;
  }

  private static boolean isRoomier(Candidate one, Candidate other) {
    return one.worker.free().milliCpu() > other.worker.free().milliCpu();
  }

  /** Tells whether some worker, were there room, would end the task in time. */
  private static boolean isWorthWaiting(
      LiveStep step, Candidates workers, Set<NodeId> avoided, Instant limit, Instant now) {
    double fastest = 0;
    if (isUnconstrained(step) && avoided.isEmpty()) {
      fastest = workers.maxSpeed(now);
    } else {
      for (Candidate c : workers.all()) {
        if (mayRun(step, c.worker, avoided)) {
          fastest = Math.max(fastest, speed(step, c, now));
        }
      }
    }
    return !step.estimatedEnd(now, fastest).isAfter(limit);
  }

  private static boolean isUnconstrained(LiveStep step) {
    StepSpec s = step.spec;
    return s.dataRack().isEmpty() && s.requiredLabel().isEmpty() && s.maxPerMinion() == 0;
  }

  private static double speed(LiveStep step, Candidate c, Instant now) {
    MinionProfile m = c.worker.minion;
    String rack = step.spec.dataRack();
    boolean remote = !rack.isEmpty() && m != null && !m.labels().contains(rack);
    double speed = c.speed(now);
    return remote ? speed / REMOTE_FACTOR : speed;
  }

  private static boolean mayRun(LiveStep step, WorkerState w, Set<NodeId> avoided) {
    MinionProfile m = w.minion;
    String label = step.spec.requiredLabel();
    if (m == null
        || avoided.contains(w.agent)
        || (!label.isEmpty() && !m.labels().contains(label))) {
      return false;
    }
    int most = step.spec.maxPerMinion();
    return most == 0 || w.runs.values().stream().filter(r -> r.step == step).count() < most;
  }
}
