package org.cassiastack.routing;

import java.time.Instant;
import org.cassiastack.membership.AvailableMinion;

/**
 * What one coordinator knows of the load of a minion: the tasks that it has handed over itself.
 * Confined to the coordinator's thread.
 *
 * @since 0.1
 */
public final class MinionLoad {
  private final AvailableMinion target;
  private int inFlight;
  private Instant pausedUntil = Instant.MIN;

  private MinionLoad(AvailableMinion target) {
    this.target = target;
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
    return inFlight < target.minion().slots() && !now.isBefore(pausedUntil);
  }

  /** Counts a task that was handed over. */
  public void taskHandedOver() {
    inFlight++;
  }

  /** Counts a task that ended or did not start. */
  public void taskReturned() {
    inFlight--;
  }

  /** Hands nothing over until a time. */
  public void pauseUntil(Instant end) {
    pausedUntil = end;
  }
}
