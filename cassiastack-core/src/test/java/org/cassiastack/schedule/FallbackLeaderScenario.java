package org.cassiastack.schedule;

import java.time.Duration;
import java.util.List;
import org.cassiastack.queue.QueuedJob;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.queue.QueuedTaskId;
import org.cassiastack.request.ResubmitJob;
import org.cassiastack.request.SubmitJob;
import org.cassiastack.runs.RunId;

/** Base of tests of a leader with fallback dispatchers. */
abstract class FallbackLeaderScenario extends LeaderScenario {
  static final Duration LIMIT = Duration.ofSeconds(1);
  static final QueuedJobId NEW = new QueuedJobId(0xbbL);
  static final RunId EARLIER = new RunId(new QueuedTaskId(ID, 0, 0, 0), 4_511);

  @Override
  ScheduleSettings settings() {
    return SETTINGS.withFallback(RESEND_DELAY);
  }

  static QueuedJob job() {
    return new QueuedJob(ID, "spec", List.of(step(1, 1_000)), false);
  }

  void resubmit(int tasks) {
    QueuedJob job = new QueuedJob(ID, "spec", List.of(step(tasks, 1_000)), false);
    request(
        new ResubmitJob(SubmitJob.of(++lastRequestId, ADDRESS, job, Duration.ofSeconds(3)), now));
  }

  static List<QueuedJobId> jobs(List<RunId> runs) {
    return runs.stream().map(r -> r.task().job()).toList();
  }
}
