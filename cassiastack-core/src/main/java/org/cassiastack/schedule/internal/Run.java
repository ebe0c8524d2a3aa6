package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.time.Instant;
import org.cassiastack.queue.Resources;
import org.cassiastack.runs.RunId;
import org.jspecify.annotations.Nullable;

/** A run that takes up room at a worker, as the leader sees it. */
final class Run {
  private static final double WHOLE_PERCENT = 100;

  final RunId id;

  /** The step that it belongs to, or null when nobody wants it any more. */
  @Nullable LiveStep step;

  /** What it takes up; {@link Resources#NONE} when that is not known. */
  final Resources need;

  /**
   * Number of the orders that started it; 0 when another leader gave them, or an earlier life of
   * the agent took them.
   */
  long orderNumber;

  /** When it was ordered, or found at work. */
  final Instant orderedAt;

  Instant stopSentAt = Instant.MIN;

  /** Whether it is being stopped so that its task can start elsewhere. */
  boolean isMoving;

  /** When the minion last listed it as at work; {@link Instant#MIN} before the first time. */
  private Instant listedAt = Instant.MIN;

  /** When its progress was last seen to grow. */
  private Instant progressedAt;

  private double progress;

  Run(RunId id, @Nullable LiveStep step, Resources need, long order, Instant orderedAt) {
    this.id = id;
    this.step = step;
    this.need = need;
    this.orderNumber = order;
    this.orderedAt = orderedAt;
    this.progressedAt = orderedAt;
  }

  /** The minion has listed it as at work. */
  void updateProgress(int percent, Instant at) {
    double done = percent / WHOLE_PERCENT;
    if (done > progress) {
      progress = done;
      progressedAt = at;
    }
    listedAt = at;
  }

  /** Returns the share of its work that is done, 0 to 1. */
  double progress() {
    return progress;
  }

  /** Returns how long it had been ordered when it was listed last; zero when it never was. */
  Duration runTime() {
    boolean known = orderNumber > 0 && listedAt.isAfter(orderedAt);
    return known ? Duration.between(orderedAt, listedAt) : Duration.ZERO;
  }

  /** Returns for how long it has been listed without any progress. */
  Duration stalledFor() {
    boolean stalled = orderNumber > 0 && listedAt.isAfter(progressedAt);
    return stalled ? Duration.between(progressedAt, listedAt) : Duration.ZERO;
  }

  /**
   * Returns it as a run of a step whose job has come after it. If its stop is on its way, its task
   * starts again once it has ended, and not before.
   */
  Run assignedTo(LiveStep owner) {
    Run claimed = new Run(id, owner, owner.spec.need(), orderNumber, orderedAt);
    claimed.stopSentAt = stopSentAt;
    claimed.isMoving = isMoving || !stopSentAt.equals(Instant.MIN);
    return claimed;
  }

  /** Tells whether it has to be stopped. */
  boolean isUnwanted() {
    return step == null || isMoving;
  }
}
