package org.cassiastack.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.function.DoubleSupplier;
import org.cassiastack.membership.AvailableMinion;
import org.cassiastack.model.JobId;
import org.cassiastack.routing.internal.RunTimeMean;

/**
 * What one coordinator knows about a minion: the tasks that this coordinator has dispatched to the
 * minion, their durations and their outcomes. Confined to the coordinator's thread.
 *
 * <ol>
 *   <li>The window is the maximum number of tasks in flight. It starts at the number of slots,
 *       shrinks when the agent refuses a task at capacity, and grows again with each completed
 *       task.
 *   <li>A minion that joins or returns to service starts with a fraction of its window. The
 *       fraction grows to the whole window over a few seconds.
 *   <li>A minion is ejected for a limited time after consecutive failures, then probed with one
 *       task at a time.
 * </ol>
 *
 * @since 0.1
 */
public final class MinionLoad {
  private static final Duration RAMP_DURATION = Duration.ofSeconds(3);
  private static final double RAMP_START_FRACTION = 0.25;
  private static final double MIN_NEWEST_WEIGHT = 0.1;
  private static final double MIN_EXPECTED_SECONDS = 1e-6;
  private static final double MIN_PAUSE_SECONDS = 0.01;
  private static final double MAX_PAUSE_SECONDS = 1;
  private static final double WINDOW_GROWTH = 0.1;
  private static final int OBSERVATIONS_TO_REPLACE_PRIOR = 10;

  private final AvailableMinion target;
  private final MinionHealth health = new MinionHealth();
  private int inFlight;
  private final RunTimeMean runTimeMean = new RunTimeMean(MIN_NEWEST_WEIGHT);
  private DoubleSupplier priorSeconds = () -> 1;
  private double window;
  private Instant pausedUntil = Instant.MIN;
  private Instant rampEnd = Instant.MIN;

  private MinionLoad(AvailableMinion target) {
    this.target = target;
    this.window = target.minion().slots();
  }

  /** Creates the load of a minion that has no task yet. */
  public static MinionLoad of(AvailableMinion target) {
    return new MinionLoad(target);
  }

  /** Returns the minion and its agent. */
  public AvailableMinion target() {
    return target;
  }

  /** Returns the number of dispatched tasks that have neither ended nor been returned unstarted. */
  public int inFlight() {
    return inFlight;
  }

  /** Returns the tasks in flight as a fraction of the slots, 0 to 1. */
  public double utilization() {
    return (double) inFlight / target.minion().slots();
  }

  /** Returns whether one more task may be dispatched to the minion. */
  public boolean hasFreeSlot(Instant now) {
    return inFlight < maxInFlight(now) && !now.isBefore(pausedUntil) && !health.isEjected(now);
  }

  private double maxInFlight(Instant now) {
    if (health.isProbed()) {
      return 1;
    }
    if (!now.isBefore(rampEnd)) {
      return Math.floor(window);
    }
    double remainingFraction =
        (double) Duration.between(now, rampEnd).toMillis() / RAMP_DURATION.toMillis();
    return Math.max(1, Math.floor(window * (1 - remainingFraction * (1 - RAMP_START_FRACTION))));
  }

  /** Returns the maximum number of tasks in flight, without the limits of a ramp or a probe. */
  public double window() {
    return window;
  }

  /** Records that a task was dispatched to the minion. */
  public void taskDispatched() {
    inFlight++;
  }

  /** Records that a dispatched task has ended or was not started, which frees its slot. */
  public void slotReleased() {
    inFlight--;
  }

  /**
   * Records a completed task, which extends the window and updates {@link #expectedSeconds}.
   *
   * @param duration time from the dispatch to the report of completion
   */
  public void taskCompleted(Duration duration) {
    health.succeeded();
    runTimeMean.observe(duration);
    window = Math.min(target.minion().slots(), window + WINDOW_GROWTH / window);
  }

  /** Records a task that failed at the minion or never reached the minion. */
  public void taskFailed(JobId job) {
    health.failed(job);
  }

  /** Resets the window to one coordinator's share of the slots, rounded up. */
  public void setCoordinatorCount(int coordinators) {
    window = Math.ceil((double) target.minion().slots() / coordinators);
  }

  /**
   * Records that the agent refused a task at capacity, because other coordinators use the minion
   * too. Shrinks the window to the tasks in flight; {@link #hasFreeSlot} is false until a slot is
   * expected to be free.
   */
  public void taskRefusedAtCapacity(Instant now) {
    window = Math.max(1, Math.min(window, inFlight));
    double secondsUntilNextSlot = expectedSeconds() / target.minion().slots();
    double pauseSeconds =
        Math.min(MAX_PAUSE_SECONDS, Math.max(MIN_PAUSE_SECONDS, secondsUntilNextSlot));
    pausedUntil = now.plusNanos((long) (pauseSeconds * 1e9));
  }

  /** Returns the expected time of one task at this minion, from dispatch to report, in seconds. */
  public double expectedSeconds() {
    return Math.max(
        MIN_EXPECTED_SECONDS,
        runTimeMean.secondsBlendedWith(priorSeconds.getAsDouble(), OBSERVATIONS_TO_REPLACE_PRIOR));
  }

  /**
   * Returns the expected time of one more task, from dispatch to report, in seconds. The time grows
   * with the utilization.
   */
  public double expectedFinishSeconds() {
    return expectedSeconds() * (1 + utilization());
  }

  /** Returns the number of tasks that completed at this minion. */
  public int observations() {
    return runTimeMean.observations();
  }

  /**
   * Sets the source of the expected time, in seconds, that is used while this minion has few
   * observations: the mean of the service.
   */
  public void setPriorSeconds(DoubleSupplier seconds) {
    priorSeconds = seconds;
  }

  /** Returns the record of the failures and ejections of the minion. */
  public MinionHealth health() {
    return health;
  }

  /**
   * Returns whether the minion was ejected and is limited to one task at a time until a task
   * completes.
   */
  public boolean isProbed() {
    return health.isProbed();
  }

  /**
   * Limits the tasks in flight to a fraction of the window. The fraction grows to the whole window
   * over a few seconds.
   */
  public void startRamp(Instant now) {
    rampEnd = now.plus(RAMP_DURATION);
  }

  /** Pauses dispatching to the minion: {@link #hasFreeSlot} is false until the given time. */
  public void pauseUntil(Instant end) {
    pausedUntil = end;
  }
}
