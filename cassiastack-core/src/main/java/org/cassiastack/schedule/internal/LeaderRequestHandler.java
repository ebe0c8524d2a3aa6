package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.cassiastack.decision.Decision;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Payload;
import org.cassiastack.queue.JobLedger;
import org.cassiastack.queue.JobPhase;
import org.cassiastack.queue.LedgerBatch;
import org.cassiastack.queue.Queue;
import org.cassiastack.queue.QueueConfiguration;
import org.cassiastack.queue.QueuedJob;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.queue.StepSpec;
import org.cassiastack.request.AnswerCode;
import org.cassiastack.request.AskJob;
import org.cassiastack.request.AskQueueConfiguration;
import org.cassiastack.request.CancelJob;
import org.cassiastack.request.LeaderReply;
import org.cassiastack.request.LeaderRequest;
import org.cassiastack.request.QueueAddress;
import org.cassiastack.request.RequestAnswer;
import org.cassiastack.request.StoreConfiguration;
import org.cassiastack.request.SubmitJob;
import org.cassiastack.request.SwitchDomain;
import org.cassiastack.request.SwitchDomainSince;
import org.jspecify.annotations.Nullable;

/**
 * Handles requests of callers and operators to the leader: submits, queries and cancels jobs, and
 * changes the configuration and failure domains.
 */
final class LeaderRequestHandler {
  private final long fence;
  private final JobLedger ledger;
  private final LiveJobs liveJobs;
  private final Fleet fleet;
  private final PendingCommits commits;
  private final Consumer<Decision> decisions;
  private final ReplySender replies;
  private final BooleanSupplier agentsSynced;

  /** Callers that wait for a job to be accepted or, if the job is not durable, to end. */
  private final Map<QueuedJobId, Caller> callers = new HashMap<>();

  private final RecentAnswers recentAnswers = RecentAnswers.ofEnds();

  /**
   * Refusals, whose jobs never run. The ledger holds those of durable jobs too, so that later
   * leaders know them.
   */
  private final RecentAnswers refusals = RecentAnswers.ofRefusals();

  private final DomainOrders domainOrders;

  LeaderRequestHandler(
      long fence,
      JobLedger ledger,
      LiveJobs liveJobs,
      Fleet fleet,
      PendingCommits commits,
      Consumer<Decision> decisions,
      ReplySender replies,
      BooleanSupplier agentsSynced) {
    this.fence = fence;
    this.ledger = ledger;
    this.liveJobs = liveJobs;
    this.fleet = fleet;
    this.commits = commits;
    this.decisions = decisions;
    this.replies = replies;
    this.agentsSynced = agentsSynced;
    this.domainOrders = new DomainOrders(fence, commits, decisions, this::answer);
  }

  /**
   * Handles a request. A change of the ledger, such as the acceptance of a durable job, is answered
   * when it is committed, a job that is not durable when it has ended, and any other request or a
   * refused one at once.
   */
  void handle(NodeId from, LeaderRequest request, Instant now) {
    Caller caller = new Caller(from, request.requestId());
    if (request instanceof SubmitJob s) {
      submit(caller, s, now);
    } else if (request instanceof AskJob a) {
      answer(caller, query(a.address()));
    } else if (request instanceof CancelJob c) {
      cancel(caller, c.address(), now);
    } else if (request instanceof StoreConfiguration s) {
      commits.addConfiguration(s.configuration(), at -> answer(caller, AnswerCode.ACCEPTED));
    } else if (request instanceof SwitchDomain d) {
      domainOrders.take(caller, d);
    } else if (request instanceof SwitchDomainSince d) {
      domainOrders.take(caller, d);
    } else if (request instanceof AskQueueConfiguration) {
      QueueConfiguration c = ledger.configuration();
      Payload document = c == null ? null : c.document();
      answer(caller, RequestAnswer.configuration(document, domainOrders.number()));
    }
  }

  private void submit(Caller caller, SubmitJob s, Instant now) {
    QueuedJobId id = s.job().id();
    RequestAnswer recentAnswer = recentAnswers.findAndRefresh(id, now);
    if (recentAnswer != null) {
      answer(caller, recentAnswer);
      return;
    }
    RequestAnswer refusal = refusals.findAndRefresh(id, now);
    if (refusal != null) {
      answer(caller, refusal);
      return;
    }
    if (ledger.isRefused(id)) {
      answer(caller, refusalOfEarlierLeader());
      return;
    }
    if (ledger.contains(id)) {
      answer(caller, AnswerCode.ACCEPTED);
      return;
    }
    if (liveJobs.find(id) != null || commits.isAccepting(id) || commits.isRefusing(id)) {
      // Replaces an earlier caller: only the last one is answered when the job is committed or,
      // if it is not durable, has ended.
      callers.put(id, caller);
      return;
    }
    QueueConfiguration c = ledger.configuration();
    if (c == null) {
      refuse(caller, s.job(), RequestAnswer.of(AnswerCode.NOT_CONFIGURED), now);
      return;
    }
    Queue queue = c.find(s.address().host(), s.address().path());
    if (queue == null) {
      answer(caller, AnswerCode.NO_SUCH_QUEUE);
      return;
    }
    admit(caller, s, queue, now);
  }

  private void admit(Caller caller, SubmitJob s, Queue queue, Instant now) {
    for (StepSpec step : s.job().steps()) {
      if (!fleet.canEverFit(queue.service(), step.need())) {
        addDecision("job_refused", s.job().id(), "unsupported", "need=" + step.need());
        refuse(caller, s.job(), RequestAnswer.of(AnswerCode.UNSUPPORTED), now);
        return;
      }
    }
    Duration delay = queueingDelay(queue, now);
    boolean durable = s.job().durable();
    Instant requestedAt = now.minus(s.waitTime());
    Instant callerTimeoutAt = durable ? Instant.MAX : now.plus(s.timeout());
    int maxAttempts = Math.max(1, queue.maxAttempts());
    LiveJob job = liveJobs.newJob(s.job(), queue, maxAttempts, requestedAt, callerTimeoutAt);
    String inputs =
        "queue=" + queue.name() + " version=" + ledger.configurationVersion() + " delay=" + delay;
    if (!Admission.canEndUsefully(job, delay, now)) {
      addDecision("job_refused", s.job().id(), "overloaded", inputs);
      refuse(caller, s.job(), RequestAnswer.overloaded(Admission.retryAfter(delay)), now);
      return;
    }
    String objective = " objective=" + Duration.between(job.requestedAt, job.dueAt);
    addDecision("job_admitted", s.job().id(), durable ? "kept" : "not_kept", inputs + objective);
    callers.put(s.job().id(), caller);
    if (!durable) {
      activate(job, now);
      return;
    }
    LedgerBatch.Acceptance a = new LedgerBatch.Acceptance(s.job(), queue.name(), maxAttempts);
    commits.addJob(a, at -> onAccepted(job, at));
  }

  /**
   * Returns how long the waiting tasks delay a new job; zero until all agents are synced, because
   * the capacity is not known before.
   */
  private Duration queueingDelay(Queue queue, Instant now) {
    if (!agentsSynced.getAsBoolean()) {
      return Duration.ZERO;
    }
    return Admission.queueingDelay(
        liveJobs.cpuTimeAhead(queue.service(), queue.priority(), this::canServe),
        fleet.capacityMilliCpu(queue.service(), now));
  }

  private boolean canServe(Demand demand) {
    return fleet.canServe(demand, ledger::isOutOfService);
  }

  private void onAccepted(LiveJob job, Instant now) {
    QueuedJobId id = job.job.id();
    Caller caller = callers.remove(id);
    if (!ledger.contains(id)) {
      boolean refusedBefore = ledger.isRefused(id);
      String reason = refusedBefore ? "refused_before" : "queue_removed";
      addDecision("job_refused", id, reason, "queue=" + job.queue.name());
      RequestAnswer refusal =
          refusedBefore ? refusalOfEarlierLeader() : RequestAnswer.of(AnswerCode.NO_SUCH_QUEUE);
      refusals.add(id, refusal, now);
      answerIfWaiting(caller, refusal);
      return;
    }
    if (ledger.live(id) != null) {
      activate(job, now);
    }
    answerIfWaiting(caller, RequestAnswer.of(AnswerCode.ACCEPTED));
  }

  private void activate(LiveJob job, Instant now) {
    fleet.claimRunsOf(job);
    liveJobs.add(job, now);
    if (job.steps.stream().anyMatch(LiveStep::hasStartedTasks)) {
      liveJobs.markStarted(job);
    }
  }

  private RequestAnswer query(QueueAddress address) {
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

  private @Nullable JobPhase phase(QueuedJobId id) {
    JobPhase finalPhase = ledger.finalPhase(id);
    if (finalPhase != null || ledger.live(id) == null) {
      return finalPhase;
    }
    LiveJob job = liveJobs.find(id);
    return job == null || job.started ? JobPhase.RUNNING : JobPhase.QUEUED;
  }

  private void cancel(Caller caller, QueueAddress address, Instant now) {
    int slash = address.path().lastIndexOf('/');
    QueuedJobId id = QueuedJobId.parse(address.path().substring(slash + 1));
    if (id == null
        || (!ledger.contains(id) && !commits.isAccepting(id) && liveJobs.find(id) == null)) {
      answer(caller, AnswerCode.NO_SUCH_JOB);
    } else if (ledger.finalPhase(id) != null) {
      answer(caller, AnswerCode.ACCEPTED);
    } else if (ledger.live(id) != null || commits.isAccepting(id)) {
      commits.addCancellation(
          id,
          at -> {
            addDecision("job_ended", id, "cancelled", "");
            removeJob(id);
            answer(caller, AnswerCode.ACCEPTED);
          });
    } else {
      removeJob(id);
      answerJobEnd(id, JobPhase.CANCELLED, now);
      answer(caller, AnswerCode.ACCEPTED);
    }
  }

  /**
   * Refuses a job, so that no copy of the request starts it. The refusal of a durable job is
   * answered when it is committed, because another leader may get a copy; a job that is not durable
   * is not worth a commit.
   */
  private void refuse(Caller caller, QueuedJob job, RequestAnswer refusal, Instant now) {
    QueuedJobId id = job.id();
    if (!job.durable()) {
      refusals.add(id, refusal, now);
      answer(caller, refusal);
      return;
    }
    callers.put(id, caller);
    commits.addRefusal(
        id,
        at -> {
          refusals.add(id, refusal, at);
          answerIfWaiting(callers.remove(id), refusal);
        });
  }

  /**
   * Returns the answer for a job that an earlier leader has refused for a reason not known here.
   */
  private static RequestAnswer refusalOfEarlierLeader() {
    return RequestAnswer.overloaded(Admission.retryAfter(Duration.ZERO));
  }

  private void refuseOvertaken(LiveJob job, Instant now) {
    Duration delay = queueingDelay(job.queue, now);
    String inputs = "waited=" + Duration.between(job.requestedAt, now) + " delay=" + delay;
    addDecision("job_refused", job.job.id(), "overtaken", inputs);
    removeJob(job.job.id());
    Caller caller = callers.remove(job.job.id());
    if (caller != null) {
      refuse(caller, job.job, RequestAnswer.overloaded(Admission.retryAfter(delay)), now);
    }
  }

  /** Removes a live job and stops its runs. */
  private void removeJob(QueuedJobId id) {
    LiveJob job = liveJobs.find(id);
    if (job != null) {
      liveJobs.remove(job);
      if (job.started) {
        fleet.markRunsUnwanted(job);
      }
    }
  }

  /** Removes a job that was completed or failed by its runs, and answers its waiting caller. */
  void jobEnded(LiveJob job, JobPhase phase, Instant now) {
    boolean failed = phase == JobPhase.FAILED;
    String inputs = failed ? "attempts=" + job.maxAttempts : "queue=" + job.queue.name();
    addDecision("job_ended", job.job.id(), phase.name().toLowerCase(Locale.ROOT), inputs);
    liveJobs.remove(job);
    if (failed) {
      fleet.markRunsUnwanted(job);
    }
    answerJobEnd(job.job.id(), phase, now);
  }

  /** Answers the caller that waits for the end of a job that is not durable. */
  private void answerJobEnd(QueuedJobId id, JobPhase phase, Instant now) {
    if (ledger.contains(id)) {
      return;
    }
    RequestAnswer answer = RequestAnswer.phase(AnswerCode.ACCEPTED, phase);
    recentAnswers.add(id, answer, now);
    answerIfWaiting(callers.remove(id), answer);
  }

  /**
   * Refuses jobs that would end too late to be useful, so that their callers need not wait for
   * their timeout, and abandons jobs whose callers have stopped waiting.
   */
  void tick(Instant now) {
    recentAnswers.evictExpired(now);
    refusals.evictExpired(now);
    for (LiveJob job : liveJobs.tooLateToStart(now)) {
      refuseOvertaken(job, now);
    }
    for (LiveJob job : liveJobs.callerTimedOut(now)) {
      QueuedJobId id = job.job.id();
      removeJob(id);
      callers.remove(id);
      if (job.started) {
        // A repeated request may still arrive. It must not be refused, because a refusal states
        // that no task has run.
        recentAnswers.add(id, RequestAnswer.of(AnswerCode.UNANSWERED), now);
      }
    }
  }

  private void addDecision(String event, Object subject, String outcome, String inputs) {
    decisions.accept(Decision.of(event, subject, outcome, inputs));
  }

  private void answerIfWaiting(@Nullable Caller caller, RequestAnswer answer) {
    if (caller != null) {
      answer(caller, answer);
    }
  }

  private void answer(Caller caller, AnswerCode code) {
    answer(caller, RequestAnswer.of(code));
  }

  private void answer(Caller caller, RequestAnswer answer) {
    replies.send(caller.node(), new LeaderReply(caller.requestId(), answer, fence));
  }
}
