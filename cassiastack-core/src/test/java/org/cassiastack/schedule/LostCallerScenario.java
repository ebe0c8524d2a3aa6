package org.cassiastack.schedule;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.Received;
import org.cassiastack.queue.QueuedJob;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.request.AwaitedSubmit;
import org.cassiastack.request.QueueAddress;
import org.cassiastack.request.SubmitJob;
import org.cassiastack.runs.RunId;

/** Base of tests of a leader with fallback dispatchers whose callers may be lost. */
abstract class LostCallerScenario extends LeaderScenario {
  static final NodeId OTHER_ENTRY = new NodeId("10.0.0.2/entry");
  static final Duration STEP = Duration.ofMillis(30);
  static final Duration LONG = Duration.ofSeconds(5);

  @Override
  ScheduleSettings settings() {
    return SETTINGS.withFallback(RESEND_DELAY);
  }

  RunId submitAndStart() {
    submit(ID, now);
    return started().get(0);
  }

  void submit(QueuedJobId id, Instant probed) {
    QueuedJob job = new QueuedJob(id, "spec", List.of(step(1, 1_000)), false);
    QueueAddress address = new QueueAddress("h", "/q/" + id);
    SubmitJob s = SubmitJob.of(++lastRequestId, address, job, LONG);
    on(new Received(ENTRY, new AwaitedSubmit(s, probed)));
  }

  static QueuedJob job() {
    return job(List.of(step(1, 1_000)), false);
  }
}
