package org.cassiastack.schedule.internal;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.cassiastack.model.NodeId;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.request.AnswerCode;
import org.cassiastack.request.RequestAnswer;

/** Stops jobs before their end. */
final class StoppedJobs {
  private final LiveJobs liveJobs;
  private final HeldJobs held;
  private final Fleet fleet;

  /** Jobs that have started and were stopped because the process that waited for them was lost. */
  private final RecentAnswers ofLostCallers = RecentAnswers.ofEnds();

  StoppedJobs(LiveJobs liveJobs, HeldJobs held, Fleet fleet) {
    this.liveJobs = liveJobs;
    this.held = held;
    this.fleet = fleet;
  }

  /** Removes a live job and stops its runs. */
  void stop(QueuedJobId id) {
    LiveJob job = liveJobs.find(id);
    if (job != null) {
      held.remove(job);
      liveJobs.remove(job);
      if (job.started) {
        fleet.markRunsUnwanted(job);
      }
    }
  }

  /**
   * Stops the jobs that are not durable and whose ends a process waits for. Its callers may send
   * them to another dispatcher.
   */
  void stopJobsOf(NodeId node, Map<QueuedJobId, Caller> callers, Instant now) {
    List<QueuedJobId> waitedFor =
        callers.entrySet().stream()
            .filter(e -> e.getValue().node().equals(node))
            .map(Map.Entry::getKey)
            .toList();
    for (QueuedJobId id : waitedFor) {
      LiveJob job = liveJobs.find(id);
      if (job == null || job.job.durable()) {
        continue;
      }
      callers.remove(id);
      stop(id);
      if (job.started) {
        ofLostCallers.add(id, RequestAnswer.of(AnswerCode.UNANSWERED), now);
      }
    }
  }

  /** Returns whether a job that is submitted was stopped for a lost caller after it had started. */
  boolean mayHaveRun(QueuedJobId id, Instant now) {
    return ofLostCallers.findAndRefresh(id, now) != null;
  }

  void evictExpired(Instant now) {
    ofLostCallers.evictExpired(now);
  }
}
