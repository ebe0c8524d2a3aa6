package org.cassiastack.schedule.internal;

import java.time.Instant;
import org.cassiastack.queue.Resources;
import org.cassiastack.runs.RunId;
import org.jspecify.annotations.Nullable;

/** A run that takes up room at a worker, as the leader sees it. */
final class Run {
  final RunId id;

  /** The step that it belongs to, or null when nobody wants it any more. */
  @Nullable LiveStep step;

  /** What it takes up; {@link Resources#NONE} when that is not known. */
  final Resources need;

  /**
   * Number of the orders that started it; 0 when another leader gave them, or an earlier life of
   * the agent took them.
   */
  long order;

  /** When it was ordered, or found at work. */
  final Instant orderedAt;

  Instant stopSentAt = Instant.MIN;

  Run(RunId id, @Nullable LiveStep step, Resources need, long order, Instant orderedAt) {
    this.id = id;
    this.step = step;
    this.need = need;
    this.order = order;
    this.orderedAt = orderedAt;
  }

  /** Tells whether nobody waits for its end. */
  boolean isOrphan() {
    return step == null;
  }
}
