package org.cassiastack.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.function.DoubleSupplier;
import org.cassiastack.membership.AvailableMinion;
import org.cassiastack.model.JobId;
import org.cassiastack.routing.internal.RunTimeMean;

/**
 * What one coordinator knows of a minion: the tasks that it has handed over itself, how long they
 * took and how they ended. Confined to the coordinator's thread.
 *
 * <ol>
 *   <li>The window is the number of tasks that may be in flight: all slots at first, less after the
 *       agent refused for want of room, more again with each task that ends.
 *   <li>A minion that comes back starts with a part of its window, which grows over a few seconds.
 *   <li>A minion whose tasks all fail is ejected for a while, then probed with one task.
 * </ol>
 *
 * @since 0.1
 */
public final class MinionLoad {
  private static final Duration RAMP = Duration.ofSeconds(3);
  private static final double RAMP_START = 0.25;
  private static final double WEIGHT_OF_NEWEST = 0.1;
  private static final double LEAST_SECONDS = 1e-6;
  private static final double LEAST_PAUSE_SECONDS = 0.01;
  private static final double LONGEST_PAUSE_SECONDS = 1;
  private static final double GROWTH = 0.1;
  private static final int FIRST_OBSERVATIONS = 10;

  private final AvailableMinion target;
  private final MinionHealth health = new MinionHealth();
  private int inFlight;
  private final RunTimeMean mean = new RunTimeMean(WEIGHT_OF_NEWEST);
  private DoubleSupplier prior = () -> 1;
  private double window;
  private Instant pausedUntil = Instant.MIN;
  private Instant rampEnd = Instant.MIN;

  private MinionLoad(AvailableMinion target) {
    this.target = target;
    this.window = target.minion().slots();
  }

  /** Makes the load of a minion that has no task yet. */
  public static MinionLoad of(AvailableMinion target) {
    return new MinionLoad(target);
  }

  /** Returns the minion with its agent. */
  public AvailableMinion target() {
    return target;
  }

  /** Returns the number of tasks handed over and not ended. */
  public int inFlight() {
    return inFlight;
  }

  /** Returns the share of the slots in use, 0 to 1. */
  public double utilization() {
    return (double) inFlight / target.minion().slots();
  }

  /** Tells whether one more task may be handed over. */
  public boolean hasFreeSlot(Instant now) {
    return inFlight < limit(now) && !now.isBefore(pausedUntil) && !health.isEjected(now);
  }

  private double limit(Instant now) {
    if (health.isProbed()) {
      return 1;
    }
    if (!now.isBefore(rampEnd)) {
      return Math.floor(window);
    }
    double left = (double) Duration.between(now, rampEnd).toMillis() / RAMP.toMillis();
    return Math.max(1, Math.floor(window * (1 - left * (1 - RAMP_START))));
  }

  /** Returns the number of tasks that may be in flight, ramps left aside. */
  public double window() {
    return window;
  }

  /** Counts a task that was handed over. */
  public void taskDispatched() {
    inFlight++;
  }

  /** Counts a task that ended or did not start. */
  public void slotReleased() {
    inFlight--;
  }

  /**
   * Learns from a task that completed.
   *
   * @param took time from the hand-over to the report
   */
  public void taskCompleted(Duration took) {
    health.succeeded();
    mean.observe(took);
    window = Math.min(target.minion().slots(), window + GROWTH / window);
  }

  /** Learns from a task that failed at the minion or never reached it. */
  public void taskFailed(JobId job) {
    health.failed(job);
  }

  /** Starts over with the part of the slots that is left when several coordinators share them. */
  public void setCoordinatorCount(int coordinators) {
    window = Math.ceil((double) target.minion().slots() / coordinators);
  }

  /** Learns that the agent had no room: others use the minion too, until a slot may be free. */
  public void taskRefusedAtCapacity(Instant now) {
    window = Math.max(1, Math.min(window, inFlight));
    double untilNextSlot = expectedSeconds() / target.minion().slots();
    double pause = Math.min(LONGEST_PAUSE_SECONDS, Math.max(LEAST_PAUSE_SECONDS, untilNextSlot));
    pausedUntil = now.plusNanos((long) (pause * 1e9));
  }

  /** Returns the expected time of one task here, from hand-over to report. */
  public double expectedSeconds() {
    return Math.max(
        LEAST_SECONDS, mean.secondsBlendedWith(prior.getAsDouble(), FIRST_OBSERVATIONS));
  }

  /** Returns the expected time of one more task, the longer the fuller the minion. */
  public double expectedFinishSeconds() {
    return expectedSeconds() * (1 + utilization());
  }

  /** Returns the number of tasks that completed here. */
  public int observations() {
    return mean.observations();
  }

  /** Sets what is expected before anything was observed: the mean of the service. */
  public void setPriorSeconds(DoubleSupplier seconds) {
    prior = seconds;
  }

  /** Returns what is known of failures. */
  public MinionHealth health() {
    return health;
  }

  /** Tells whether the minion was ejected and gets one task to show that it works again. */
  public boolean isProbed() {
    return health.isProbed();
  }

  /** Gives the capacity back by and by. */
  public void startRamp(Instant now) {
    rampEnd = now.plus(RAMP);
  }

  /** Hands nothing over until a time. */
  public void pauseUntil(Instant end) {
    pausedUntil = end;
  }
}
