package org.cassiastack.schedule.internal;

import org.cassiastack.model.Payload;
import org.cassiastack.queue.JobLedger;
import org.cassiastack.queue.JobPhase;
import org.cassiastack.queue.Queue;
import org.cassiastack.queue.QueueConfiguration;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.request.AnswerCode;
import org.cassiastack.request.QueueAddress;
import org.cassiastack.request.RequestAnswer;
import org.jspecify.annotations.Nullable;

/** Answers queries about jobs that are stored. */
final class JobQueries {
  private final JobLedger ledger;
  private final LiveJobs liveJobs;

  JobQueries(JobLedger ledger, LiveJobs liveJobs) {
    this.ledger = ledger;
    this.liveJobs = liveJobs;
  }

  /** Returns the phase of a job, or the number of jobs of a queue that have not started. */
  RequestAnswer query(QueueAddress address) {
    QueueConfiguration c = ledger.configuration();
    if (c == null) {
      return RequestAnswer.of(AnswerCode.NOT_CONFIGURED);
    }
    Queue queue = c.find(address.host(), address.path());
    if (queue == null) {
      return RequestAnswer.of(AnswerCode.NO_SUCH_QUEUE);
    }
    String jobPart = address.path().substring(queue.pathPrefix().length());
    if (jobPart.isEmpty()) {
      return RequestAnswer.pending(liveJobs.unstartedJobCount(queue.name()));
    }
    QueuedJobId id = QueuedJobId.parse(jobPart);
    JobPhase phase = id == null ? null : phase(id);
    return phase == null
        ? RequestAnswer.of(AnswerCode.NO_SUCH_JOB)
        : RequestAnswer.phase(AnswerCode.FOUND, phase);
  }

  /** Returns the present configuration with the number of the orders for failure domains. */
  RequestAnswer configuration(int orderNumber) {
    QueueConfiguration c = ledger.configuration();
    Payload document = c == null ? null : c.document();
    return RequestAnswer.configuration(document, orderNumber);
  }

  private @Nullable JobPhase phase(QueuedJobId id) {
    JobPhase finalPhase = ledger.finalPhase(id);
    if (finalPhase != null || ledger.live(id) == null) {
      return finalPhase;
    }
    LiveJob job = liveJobs.find(id);
    return job == null || job.started ? JobPhase.RUNNING : JobPhase.QUEUED;
  }
}
