package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.time.Instant;
import org.cassiastack.queue.Resources;
import org.cassiastack.runs.RunId;
import org.jspecify.annotations.Nullable;

/** The leader's record of a run that uses resources of a worker. */
final class Run {
  private static final double ONE_HUNDRED_PERCENT = 100;

  final RunId id;

  /** The step that the run belongs to, or null when the run is no longer needed. */
  @Nullable LiveStep step;

  /** Resources that the run uses; {@link Resources#NONE} when unknown. */
  final Resources need;

  /**
   * Number of the orders that started the run; 0 when the orders came from another leader or went
   * to an earlier incarnation of the agent.
   */
  long orderNumber;

  /** When this leader ordered the run, or first found it in a report. */
  final Instant orderedAt;

  /** When the stop was last ordered; {@link Instant#MIN} before the first time. */
  Instant stopSentAt = Instant.MIN;

  /** Whether the run was found at an agent and its job was not known then. */
  boolean isOfUnknownJob;

  /**
   * Confirmation that leases for this run rest on, if the job was given up because its caller may
   * send it again; null for other runs that are no longer needed.
   */
  private @Nullable Instant lastLeaseBasis;

  /** Whether the run is being stopped so that its task can start on another worker. */
  boolean isMoving;

  /** When the minion last listed the run as running; {@link Instant#MIN} before the first time. */
  private Instant listedAt = Instant.MIN;

  /** When the progress last increased; initially {@link #orderedAt}. */
  private Instant progressedAt;

  private double progress;

  Run(RunId id, @Nullable LiveStep step, Resources need, long orderNumber, Instant orderedAt) {
    this.id = id;
    this.step = step;
    this.need = need;
    this.orderNumber = orderNumber;
    this.orderedAt = orderedAt;
    this.progressedAt = orderedAt;
  }

  /**
   * Records that the minion listed the run as running.
   *
   * @param percent share of the run's work that is done, 0 to 100
   * @param at when the minion made the list
   */
  void updateProgress(int percent, Instant at) {
    double done = percent / ONE_HUNDRED_PERCENT;
    if (done > progress) {
      progress = done;
      progressedAt = at;
    }
    listedAt = at;
  }

  /** Returns the highest share of the run's work that was reported as done, 0 to 1. */
  double progress() {
    return progress;
  }

  /**
   * Returns the time from the order to the last listing; zero when the run was never listed or this
   * leader did not order it.
   */
  Duration runTime() {
    boolean hasRunTime = orderNumber > 0 && listedAt.isAfter(orderedAt);
    return hasRunTime ? Duration.between(orderedAt, listedAt) : Duration.ZERO;
  }

  /**
   * Returns for how long the run has been listed without progress; zero when this leader did not
   * order the run.
   */
  Duration stalledFor() {
    boolean stalled = orderNumber > 0 && listedAt.isAfter(progressedAt);
    return stalled ? Duration.between(progressedAt, listedAt) : Duration.ZERO;
  }

  /**
   * Returns a copy of this run that belongs to a step, because the step's job was submitted after
   * the run had started. When a stop has already been ordered, the task starts again only after
   * this run has ended.
   */
  Run assignedTo(LiveStep owner) {
    Run claimed = new Run(id, owner, owner.spec.need(), orderNumber, orderedAt);
    claimed.stopSentAt = stopSentAt;
    claimed.isMoving = isMoving || !stopSentAt.equals(Instant.MIN);
    return claimed;
  }

  /**
   * Records that the job was given up.
   *
   * @param basis basis of leases for its runs, or null if its caller will not send it again
   */
  void giveUp(@Nullable Instant basis) {
    step = null;
    lastLeaseBasis = basis;
  }

  /**
   * Returns the confirmation of the job that a lease for this run rests on; {@link Instant#MIN} if
   * none is known, null if the run need not end with its caller.
   */
  @Nullable Instant leaseBasis() {
    LiveStep s = step;
    if (s != null) {
      return s.job.leaseBasis;
    }
    return isOfUnknownJob ? Instant.MIN : lastLeaseBasis;
  }

  /** Returns whether the run has to be stopped. */
  boolean isUnwanted() {
    return step == null || isMoving;
  }
}
