package org.cassiastack.schedule.internal;

import java.time.Instant;
import java.util.Set;
import org.cassiastack.model.NodeId;
import org.cassiastack.queue.StepSpec;
import org.cassiastack.runs.MinionProfile;
import org.cassiastack.schedule.ScheduleSettings;
import org.cassiastack.schedule.internal.Candidates.Candidate;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the worker where the task would end first, and among equally fast workers the one with
 * the most free processor capacity.
 *
 * <p>When the task would end too late at that worker, but in time at another worker if the other
 * worker had free capacity now, the task waits. A job ends with the last of its tasks, so one slow
 * worker would otherwise delay most jobs.
 */
final class FastestFit implements Placer {
  /** Speeds that differ by less than this count as equal. */
  private static final double SPEED_TOLERANCE = 0.01;

  private final double remoteFactor;

  private FastestFit(double remoteFactor) {
    this.remoteFactor = remoteFactor;
  }

  /** Creates a placer. See {@link ScheduleSettings#remoteFactor}. */
  static FastestFit withRemoteFactor(double remoteFactor) {
    return new FastestFit(remoteFactor);
  }

  @Override
  public @Nullable WorkerState choose(
      LiveStep step, Candidates workers, Set<NodeId> avoided, Instant now) {
    if (!workers.mayFit(step.spec.need())) {
      return null;
    }
    Candidate best = null;
    double bestSpeed = 0;
    for (Candidate c : workers.withFreeCapacity()) {
      if (!c.worker.free().covers(step.spec.need()) || !mayRun(step, c.worker, avoided)) {
        continue;
      }
      double speed = speed(step, c, now);
      boolean equallyFast = Math.abs(speed - bestSpeed) < SPEED_TOLERANCE;
      if (best == null || (equallyFast ? hasMoreFreeCpu(c, best) : speed > bestSpeed)) {
        best = c;
        bestSpeed = speed;
      }
    }
    if (best == null) {
      return null;
    }
    Instant latestEnd = step.job.latestUsefulEnd(step.job.lateness(step, now));
    boolean tooSlow = step.estimatedEnd(now, bestSpeed).isAfter(latestEnd);
    return tooSlow && isWorthWaiting(step, workers, avoided, latestEnd, now) ? null : best.worker;
  }

  private static boolean hasMoreFreeCpu(Candidate candidate, Candidate other) {
    return candidate.worker.free().milliCpu() > other.worker.free().milliCpu();
  }

  /** Returns whether any worker would end the task in time if it had free capacity now. */
  private boolean isWorthWaiting(
      LiveStep step, Candidates workers, Set<NodeId> avoided, Instant latestEnd, Instant now) {
    double maxSpeed = 0;
    if (isUnconstrained(step) && avoided.isEmpty()) {
      maxSpeed = workers.maxSpeed(now);
    } else {
      for (Candidate c : workers.all()) {
        if (mayRun(step, c.worker, avoided)) {
          maxSpeed = Math.max(maxSpeed, speed(step, c, now));
        }
      }
    }
    return !step.estimatedEnd(now, maxSpeed).isAfter(latestEnd);
  }

  private static boolean isUnconstrained(LiveStep step) {
    StepSpec s = step.spec;
    return s.dataRack().isEmpty() && s.requiredLabel().isEmpty() && s.maxPerMinion() == 0;
  }

  private double speed(LiveStep step, Candidate c, Instant now) {
    MinionProfile m = c.worker.minion;
    String rack = step.spec.dataRack();
    boolean remote = !rack.isEmpty() && m != null && !m.labels().contains(rack);
    double speed = c.speed(now);
    return remote ? speed / remoteFactor : speed;
  }

  private static boolean mayRun(LiveStep step, WorkerState w, Set<NodeId> avoided) {
    MinionProfile m = w.minion;
    String label = step.spec.requiredLabel();
    if (m == null
        || avoided.contains(w.agent)
        || (!label.isEmpty() && !m.labels().contains(label))) {
      return false;
    }
    int maxRuns = step.spec.maxPerMinion();
    return maxRuns == 0 || w.runs.values().stream().filter(r -> r.step == step).count() < maxRuns;
  }
}
