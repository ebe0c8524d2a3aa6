package org.cassiastack.schedule.internal;

import java.time.Instant;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.request.AnswerCode;
import org.cassiastack.request.RequestAnswer;
import org.jspecify.annotations.Nullable;

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

  /** Removes a live job that its caller will not send again, and stops its runs. */
  void stop(QueuedJobId id) {
    LiveJob job = liveJobs.find(id);
    if (job != null) {
      remove(job, null);
    }
  }

  /** Removes a live job that its caller may send again, and stops its runs before. */
  void giveUp(LiveJob job) {
    remove(job, job.leaseBasis);
  }

  /** Gives up a live job whose caller may be lost, and may send it again before long. */
  void giveUpLost(LiveJob job, Instant now) {
    giveUp(job);
    if (job.started) {
      ofLostCallers.add(job.job.id(), RequestAnswer.of(AnswerCode.UNANSWERED), now);
    }
  }

  private void remove(LiveJob job, @Nullable Instant leaseBasis) {
    held.remove(job);
    liveJobs.remove(job);
    if (job.started) {
      fleet.markRunsUnwanted(job, leaseBasis);
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
