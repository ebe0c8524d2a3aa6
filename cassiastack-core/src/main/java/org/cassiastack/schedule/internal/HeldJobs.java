package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.cassiastack.decision.Decision;
import org.jspecify.annotations.Nullable;

/**
 * Jobs of which runs may exist that this leader does not know. They start no task until the agents
 * have listed their runs, or until the leases of these runs have expired. The steps of these jobs
 * are not in the ready queue, so that they block no other step.
 */
final class HeldJobs {
  private final Duration leaseExpiryTimeout;
  private final Set<LiveJob> restored = new LinkedHashSet<>();

  /** Jobs that another dispatcher had before, with the time of their arrival. */
  private final Map<LiveJob, Instant> resubmitted = new LinkedHashMap<>();

  private final Consumer<Decision> decisions;

  HeldJobs(Duration leaseExpiryTimeout, Consumer<Decision> decisions) {
    this.leaseExpiryTimeout = leaseExpiryTimeout;
    this.decisions = decisions;
  }

  /** Holds a job of the ledger until all agents are synced. */
  void addRestored(LiveJob job) {
    job.startsHeld = true;
    restored.add(job);
  }

  /** Holds a job that an entry has sent to another dispatcher before. */
  void addResubmitted(LiveJob job, Caller caller, Instant now) {
    job.resubmittedBy = caller;
    job.startsHeld = true;
    resubmitted.put(job, now);
  }

  /**
   * Holds the waiting tasks of a live job that an entry has sent to another dispatcher before: an
   * earlier copy of the submission, which was late, may have made it live. Repetitions of a request
   * have no effect, nor is a job held whose runs are known from the ledger.
   */
  void holdAgain(LiveJob job, Caller caller, LiveJobs liveJobs, Instant now) {
    if (job.job.durable() || caller.equals(job.resubmittedBy)) {
      return;
    }
    addResubmitted(job, caller, now);
    liveJobs.unqueue(job);
    liveJobs.markStarted(job);
    String inputs = "entry=" + caller.node();
    decisions.accept(Decision.of("job_held_again", job.job.id(), "resubmitted", inputs));
  }

  void remove(LiveJob job) {
    restored.remove(job);
    resubmitted.remove(job);
  }

  /** Returns when the last job arrived that waits for the lists of all agents, or null. */
  @Nullable Instant lastArrival() {
    return resubmitted.values().stream().max(Comparator.naturalOrder()).orElse(null);
  }

  boolean isEmpty() {
    return restored.isEmpty() && resubmitted.isEmpty();
  }

  /** Moves the times from which leases are counted. */
  void onClockLeaped(Duration leap) {
    resubmitted.replaceAll((job, at) -> at.plus(leap));
  }

  /**
   * Removes and returns the jobs whose tasks may start.
   *
   * @param agentsSynced whether the leader knows every run of earlier leaders
   * @param lists the oldest of the last run lists of all agents of the ledger
   */
  List<LiveJob> takeReleased(boolean agentsSynced, OldestLists lists, Instant now) {
    List<LiveJob> released = new ArrayList<>();
    if (agentsSynced) {
      released.addAll(restored);
      restored.clear();
    }
    resubmitted.forEach(
        (job, at) -> {
          // The job was handed over before it arrived, so a request of the same time is late
          // enough.
          boolean runsListed = !at.isAfter(lists.since());
          if (runsListed || now.isAfter(at.plus(leaseExpiryTimeout))) {
            released.add(job);
            String outcome = runsListed ? "runs_listed" : "leases_expired";
            String inputs = "held=" + Duration.between(at, now) + " " + lists.describe();
            decisions.accept(Decision.of("job_released", job.job.id(), outcome, inputs));
          }
        });
    released.forEach(resubmitted::remove);
    released.forEach(j -> j.startsHeld = false);
    return released;
  }
}
