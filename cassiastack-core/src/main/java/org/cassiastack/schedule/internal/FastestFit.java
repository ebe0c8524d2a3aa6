package org.cassiastack.schedule.internal;

import java.time.Instant;
import java.util.Set;
import org.cassiastack.model.NodeId;
import org.cassiastack.runs.MinionProfile;
import org.cassiastack.schedule.ScheduleSettings;
import org.cassiastack.schedule.internal.Candidates.Candidate;
import org.cassiastack.schedule.internal.Candidates.Fit;

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
  public Placement choose(LiveStep step, Candidates workers, Set<NodeId> avoided, Instant now) {
    if (!workers.mayFit(step.spec.need())) {
      return Placement.DEMAND_NOT_MET;
    }
    Fit fit =
        hasOwnLimits(step, avoided)
            ? find(step, workers, avoided)
            : workers.fit(step.demand, () -> find(step, workers, avoided));
    WorkerState best = fit.best();
    if (best == null) {
      return fit.demandMet() ? Placement.WAIT : Placement.DEMAND_NOT_MET;
    }
    Instant latestEnd = step.job.latestUsefulEnd(step.job.lateness(step, now));
    boolean tooSlow = step.estimatedEnd(now, fit.speed()).isAfter(latestEnd);
    return tooSlow && isWorthWaiting(step, workers, avoided, latestEnd, now)
        ? Placement.WAIT
        : Placement.on(best);
  }

  /** Finds the best worker with free capacity for the next task of a step. */
  private Fit find(LiveStep step, Candidates workers, Set<NodeId> avoided) {
    Candidate best = null;
    double bestSpeed = 0;
    boolean demandMet = false;
    for (Candidate c : workers.withFreeCapacity()) {
      if (!c.worker.free().covers(step.spec.need()) || !hasRequiredLabel(step, c.worker)) {
        continue;
      }
      demandMet = true;
      if (!isAllowed(step, c.worker, avoided)) {
        continue;
      }
      double speed = speed(step, c);
      boolean equallyFast = Math.abs(speed - bestSpeed) < SPEED_TOLERANCE;
      if (best == null || (equallyFast ? hasMoreFreeCpu(c, best) : speed > bestSpeed)) {
        best = c;
        bestSpeed = speed;
      }
    }
    return new Fit(best == null ? null : best.worker, bestSpeed, demandMet);
  }

  private static boolean hasMoreFreeCpu(Candidate candidate, Candidate other) {
    return candidate.worker.free().milliCpu() > other.worker.free().milliCpu();
  }

  /** Returns whether any worker would end the task in time if it had free capacity now. */
  private boolean isWorthWaiting(
      LiveStep step, Candidates workers, Set<NodeId> avoided, Instant latestEnd, Instant now) {
    double maxSpeed =
        hasOwnLimits(step, avoided)
            ? maxSpeed(step, workers, avoided)
            : workers.maxSpeed(step.demand, () -> maxSpeed(step, workers, avoided));
    return !step.estimatedEnd(now, maxSpeed).isAfter(latestEnd);
  }

  private double maxSpeed(LiveStep step, Candidates workers, Set<NodeId> avoided) {
    double maxSpeed = 0;
    for (Candidate c : workers.all()) {
      if (hasRequiredLabel(step, c.worker) && isAllowed(step, c.worker, avoided)) {
        maxSpeed = Math.max(maxSpeed, speed(step, c));
      }
    }
    return maxSpeed;
  }

  /** Returns whether the choice for a step depends on more than its demand. */
  private static boolean hasOwnLimits(LiveStep step, Set<NodeId> avoided) {
    return !avoided.isEmpty() || step.spec.maxPerMinion() != 0;
  }

  private double speed(LiveStep step, Candidate c) {
    MinionProfile m = c.worker.minion;
    String rack = step.spec.dataRack();
    boolean remote = !rack.isEmpty() && m != null && !m.labels().contains(rack);
    double speed = c.speed();
    return remote ? speed / remoteFactor : speed;
  }

  private static boolean hasRequiredLabel(LiveStep step, WorkerState w) {
    MinionProfile m = w.minion;
    return m != null && step.demand.isLabelMetBy(m);
  }

  private static boolean isAllowed(LiveStep step, WorkerState w, Set<NodeId> avoided) {
    int maxRuns = step.spec.maxPerMinion();
    return !avoided.contains(w.agent)
        && (maxRuns == 0 || w.runs.values().stream().filter(r -> r.step == step).count() < maxRuns);
  }
}
