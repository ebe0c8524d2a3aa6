package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.function.BooleanSupplier;
import org.cassiastack.queue.JobLedger;
import org.cassiastack.queue.Queue;

/** Computes how long the waiting tasks delay a new job. */
final class QueueingDelays {
  private final JobLedger ledger;
  private final LiveJobs liveJobs;
  private final Fleet fleet;
  private final BooleanSupplier capacityKnown;

  QueueingDelays(JobLedger ledger, LiveJobs liveJobs, Fleet fleet, BooleanSupplier capacityKnown) {
    this.ledger = ledger;
    this.liveJobs = liveJobs;
    this.fleet = fleet;
    this.capacityKnown = capacityKnown;
  }

  /** Returns the delay of a new job of a queue; zero while the capacity is not known. */
  Duration of(Queue queue, Instant now) {
    if (!capacityKnown.getAsBoolean()) {
      return Duration.ZERO;
    }
    return Admission.queueingDelay(
        liveJobs.cpuTimeAhead(queue.service(), queue.priority(), this::canServe),
        fleet.capacityMilliCpu(queue.service(), now));
  }

  private boolean canServe(Demand demand) {
    return fleet.canServe(demand, ledger::isOutOfService);
  }
}
