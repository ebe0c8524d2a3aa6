package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Predicate;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.runs.AgentReport;
import org.cassiastack.schedule.CallerLease;
import org.cassiastack.schedule.ScheduleSettings;
import org.jspecify.annotations.Nullable;

/** Decides how long jobs that need not be stored outlast the last sign of their callers. */
interface CallerLeases {
  /**
   * Records that a job was submitted.
   *
   * @param probeSentAt the last probe that the entry had answered or taken note of, or null
   */
  void submitted(LiveJob job, @Nullable Instant probeSentAt, Instant now);

  /** Records that an entry has confirmed, in answer to a probe, that a caller waits for a job. */
  void confirmed(LiveJob job, Instant probeSentAt, Instant now);

  /** Returns whether a task of a job may start. */
  boolean mayStart(LiveJob job, Instant now);

  /** Returns whether a job has to be given up, because its caller seems to be lost. */
  boolean isLost(LiveJob job, Instant now);

  /** Returns the lease for the agent of a worker, which ends before its runs must have ended. */
  Duration agentLease(WorkerState w, AgentReport report, long fence, Instant now);

  /**
   * Creates leases by the settings.
   *
   * @param isStored returns whether a job is in the ledger
   */
  static CallerLeases of(ScheduleSettings settings, Predicate<QueuedJobId> isStored) {
    CallerLease lease = settings.callerLease();
    return lease == null ? new Unlimited(settings.lease()) : new ByProbes(lease, isStored);
  }

  /** Keeps jobs until their callers' timeout: callers can send them to no other dispatcher. */
  final class Unlimited implements CallerLeases {
    private final Duration agentLease;

    Unlimited(Duration agentLease) {
      this.agentLease = agentLease;
    }

    @Override
    public void submitted(LiveJob job, @Nullable Instant probeSentAt, Instant now) {
      // The job is kept in any case.
    }

    @Override
    public void confirmed(LiveJob job, Instant probeSentAt, Instant now) {
      // The job is kept in any case.
    }

    @Override
    public boolean mayStart(LiveJob job, Instant now) {
      return true;
    }

    @Override
    public boolean isLost(LiveJob job, Instant now) {
      return false;
    }

    @Override
    public Duration agentLease(WorkerState w, AgentReport report, long fence, Instant now) {
      return agentLease;
    }
  }

  /** Keeps jobs for a time after the last probe that was answered for them. */
  final class ByProbes implements CallerLeases {
    private final CallerLease lease;
    private final Predicate<QueuedJobId> isStored;

    ByProbes(CallerLease lease, Predicate<QueuedJobId> isStored) {
      this.lease = lease;
      this.isStored = isStored;
    }

    @Override
    public void submitted(LiveJob job, @Nullable Instant probeSentAt, Instant now) {
      if (job.job.durable()) {
        return;
      }
      if (job.confirmedAt == null) {
        job.confirmedAt = Instant.MIN;
        job.leaseBasis = Instant.MIN;
        job.keptUntil = Instant.MIN;
      }
      // A job that was not confirmed yet does not start, but it waits for its first confirmation.
      job.keepUntil(now.plus(lease.keptFor()));
      if (probeSentAt != null) {
        confirmed(job, probeSentAt, now);
      }
    }

    @Override
    public void confirmed(LiveJob job, Instant probeSentAt, Instant now) {
      Instant former = job.confirmedAt;
      // A probe of an earlier incarnation of this process may have another clock.
      if (former != null && probeSentAt.isAfter(former) && !probeSentAt.isAfter(now)) {
        job.confirmedAt = probeSentAt;
        job.leaseBasis = lease.leaseBasis(probeSentAt, job.callerTimeoutAt);
        job.keepUntil(probeSentAt.plus(lease.keptFor()));
      }
    }

    @Override
    public boolean mayStart(LiveJob job, Instant now) {
      Instant at = job.confirmedAt;
      return at == null || lease.mayStart(at, now);
    }

    @Override
    public boolean isLost(LiveJob job, Instant now) {
      return now.isAfter(job.keptUntil);
    }

    @Override
    public Duration agentLease(WorkerState w, AgentReport report, long fence, Instant now) {
      boolean hasUnknownRuns = !report.running().isEmpty() || !report.unresolved().isEmpty();
      // A restarted agent that its minion has not answered yet lists no runs, but there may be
      // some.
      boolean hasListedNothing = !report.listsComplete() && !report.reachable();
      if (hasListedNothing || (report.fence() != fence && hasUnknownRuns)) {
        return Duration.ZERO;
      }
      Instant oldest = now;
      for (Run r : w.runs.values()) {
        Instant at = r.leaseBasis();
        if (at != null && at.isBefore(oldest) && !isStored.test(r.id.task().job())) {
          oldest = at;
        }
      }
      return lease.agentLease(oldest, now);
    }
  }
}
