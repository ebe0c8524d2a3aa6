package org.cassiastack.schedule.internal;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.cassiastack.decision.Decision;
import org.cassiastack.model.NodeId;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.request.AwaitedJobs;
import org.jspecify.annotations.Nullable;

/**
 * The callers that wait for a job to be accepted or, if the job is not durable, to end. Jobs of the
 * latter kind are given up when their callers seem to be lost.
 */
final class WaitingCallers {
  private final Map<QueuedJobId, Caller> callers = new HashMap<>();
  private final LiveJobs liveJobs;
  private final StoppedJobs stopped;
  private final CallerLeases leases;
  private final Consumer<Decision> decisions;

  WaitingCallers(
      LiveJobs liveJobs, StoppedJobs stopped, CallerLeases leases, Consumer<Decision> decisions) {
    this.liveJobs = liveJobs;
    this.stopped = stopped;
    this.leases = leases;
    this.decisions = decisions;
  }

  /** Adds the caller of a job in the place of an earlier one, which is not answered any more. */
  void put(QueuedJobId id, Caller caller) {
    Caller former = callers.put(id, caller);
    if (former != null && !former.node().equals(caller.node())) {
      LiveJob job = liveJobs.find(id);
      Object confirmed = job == null ? "none" : job.lastConfirmation();
      String inputs =
          "entry=" + caller.node() + " former=" + former.node() + " confirmed=" + confirmed;
      decisions.accept(Decision.of("caller_replaced", id, "other_entry", inputs));
    }
  }

  @Nullable Caller remove(QueuedJobId id) {
    return callers.remove(id);
  }

  int count() {
    return callers.size();
  }

  /** Removes all callers and passes them to a consumer. */
  void removeAll(Consumer<Caller> consumer) {
    callers.values().forEach(consumer);
    callers.clear();
  }

  /**
   * Records that a process has submitted a job.
   *
   * @return the job, if the caller waits for a live one; otherwise null
   */
  @Nullable LiveJob onSubmitted(Caller caller, Submission s, Instant now) {
    QueuedJobId id = s.request().job().id();
    LiveJob job = liveJobs.find(id);
    if (job == null || !caller.equals(callers.get(id))) {
      return null;
    }
    leases.submitted(job, s.probeSentAt(), now);
    return job;
  }

  /**
   * Handles the answer of an entry to a probe.
   *
   * @return whether tasks may start now that could not start before
   */
  boolean onConfirmed(NodeId entry, AwaitedJobs answer, Instant now) {
    boolean anyStartable = false;
    for (QueuedJobId id : answer.jobs()) {
      LiveJob job = liveJobs.find(id);
      Caller caller = callers.get(id);
      // Another entry may have submitted the job since.
      if (job != null && caller != null && caller.node().equals(entry)) {
        boolean wasStartable = leases.mayStart(job, now);
        leases.confirmed(job, answer.probeSentAt(), now);
        anyStartable |= !wasStartable && leases.mayStart(job, now);
      }
    }
    return anyStartable;
  }

  /** Gives up the jobs whose callers were not confirmed for too long. */
  void giveUpLost(Instant now) {
    List<LiveJob> lost = liveJobs.all().stream().filter(j -> leases.isLost(j, now)).toList();
    for (LiveJob job : lost) {
      stopped.giveUpLost(job, now);
      removeGivenUp(job, "caller_lost");
    }
  }

  /** Removes the caller of a job that was given up, and reports the job. */
  void removeGivenUp(LiveJob job, String reason) {
    QueuedJobId id = job.job.id();
    Caller caller = callers.remove(id);
    String inputs =
        "entry="
            + (caller == null ? "none" : caller.node())
            + " confirmed="
            + job.lastConfirmation()
            + " started="
            + job.started;
    decisions.accept(Decision.of("job_given_up", id, reason, inputs));
  }

  /** Gives up the jobs that are not durable and whose ends a process waits for. */
  void giveUpAllOf(NodeId node, Instant now) {
    List<QueuedJobId> waitedFor =
        callers.entrySet().stream()
            .filter(e -> e.getValue().node().equals(node))
            .map(Map.Entry::getKey)
            .toList();
    for (QueuedJobId id : waitedFor) {
      LiveJob job = liveJobs.find(id);
      if (job != null && !job.job.durable()) {
        stopped.giveUpLost(job, now);
        removeGivenUp(job, "entry_disconnected");
      }
    }
  }
}
