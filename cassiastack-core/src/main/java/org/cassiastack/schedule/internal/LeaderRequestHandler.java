package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.cassiastack.decision.Decision;
import org.cassiastack.model.NodeId;
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
  private final long term;
  private final JobLedger ledger;
  private final LiveJobs liveJobs;
  private final HeldJobs held;
  private final Fleet fleet;
  private final LedgerChanges commits;
  private final Consumer<Decision> decisions;
  private final ReplySender replies;
  private final BooleanSupplier capacityKnown;

  /** Whether jobs that were refused or run by another dispatcher may come to this one. */
  private final boolean fallback;

  private final WaitingCallers callers;

  private final RecentAnswers recentAnswers = RecentAnswers.ofEnds();

  /**
   * Refusals, whose jobs never run. The ledger holds those of durable jobs too, so that later
   * leaders know them.
   */
  private final RecentAnswers refusals = RecentAnswers.ofRefusals();

  private final StoppedJobs stopped;

  private final DomainOrders domainOrders;
  private final JobQueries queries;
  private final QueueingDelays delays;

  LeaderRequestHandler(
      long fence,
      long term,
      JobLedger ledger,
      LiveJobs liveJobs,
      HeldJobs held,
      Fleet fleet,
      LedgerChanges commits,
      Consumer<Decision> decisions,
      ReplySender replies,
      BooleanSupplier capacityKnown,
      boolean fallback,
      StoppedJobs stopped,
      WaitingCallers callers) {
    this.fence = fence;
    this.term = term;
    this.held = held;
    this.fallback = fallback;
    this.ledger = ledger;
    this.liveJobs = liveJobs;
    this.fleet = fleet;
    this.commits = commits;
    this.decisions = decisions;
    this.replies = replies;
    this.capacityKnown = capacityKnown;
    this.stopped = stopped;
    this.callers = callers;
    this.queries = new JobQueries(ledger, liveJobs);
    this.delays = new QueueingDelays(ledger, liveJobs, fleet, capacityKnown);
    this.domainOrders = new DomainOrders(term, commits, decisions, this::answer);
  }

  /**
   * Handles a request. A change of the ledger, such as the acceptance of a durable job, is answered
   * when it is committed, a job that is not durable when it has ended, and any other request or a
   * refused one at once.
   *
   * @return the job that the process waits for because of the request, or null
   */
  @Nullable LiveJob handle(NodeId from, LeaderRequest request, Instant now) {
    Caller caller = new Caller(from, request.requestId());
    Submission submission = Submission.of(request);
    if (submission != null) {
      QueuedJobId id = submission.request().job().id();
      boolean mayHaveRun = submission.wasElsewhere() || stopped.mayHaveRun(id, now);
      submit(caller, submission.request(), mayHaveRun, now);
      return callers.onSubmitted(caller, submission, now);
    } else if (request instanceof AskJob a) {
      answer(caller, queries.query(a.address()));
    } else if (request instanceof CancelJob c) {
      cancel(caller, c.address(), now);
    } else if (request instanceof StoreConfiguration s) {
      commits.addConfiguration(s.configuration(), at -> answer(caller, AnswerCode.ACCEPTED));
    } else if (request instanceof SwitchDomain d) {
      domainOrders.take(caller, d);
    } else if (request instanceof SwitchDomainSince d) {
      domainOrders.take(caller, d);
    } else if (request instanceof AskQueueConfiguration) {
      answer(caller, queries.configuration(domainOrders.number()));
    }
    return null;
  }

  /**
   * Submits a job.
   *
   * @param mayHaveRun whether the job was sent to another dispatcher before; it is not refused,
   *     because a refusal states that no task has run
   */
  private void submit(Caller caller, SubmitJob s, boolean mayHaveRun, Instant now) {
    QueuedJobId id = s.job().id();
    RequestAnswer recentAnswer = recentAnswers.findAndRefresh(id, now);
    if (recentAnswer != null) {
      answer(caller, recentAnswer);
      return;
    }
    RequestAnswer refusal = mayHaveRun ? null : refusals.findAndRefresh(id, now);
    if (refusal != null) {
      answer(caller, refusal);
      return;
    }
    if (!mayHaveRun && ledger.isRefused(id)) {
      answer(caller, refusalOfEarlierLeader());
      return;
    }
    if (ledger.contains(id)) {
      answer(caller, AnswerCode.ACCEPTED);
      return;
    }
    LiveJob live = liveJobs.find(id);
    if (live != null || commits.isAccepting(id) || commits.isRefusing(id)) {
      if (live != null && mayHaveRun) {
        held.holdAgain(live, caller, liveJobs, now);
      }
      // Replaces an earlier caller: only the last one is answered when the job is committed or,
      // if it is not durable, has ended.
      callers.put(id, caller);
      return;
    }
    QueueConfiguration c = ledger.configuration();
    Queue queue = c == null ? null : c.find(s.address().host(), s.address().path());
    if (mayHaveRun && (queue == null || s.job().durable())) {
      answer(caller, AnswerCode.UNANSWERED);
      return;
    }
    if (c == null) {
      refuse(caller, s.job(), RequestAnswer.of(AnswerCode.NOT_CONFIGURED), now);
      return;
    }
    if (queue == null) {
      answer(caller, AnswerCode.NO_SUCH_QUEUE);
      return;
    }
    if (mayHaveRun) {
      resubmit(caller, s, queue, now);
    } else {
      admit(caller, s, queue, now);
    }
  }

  /** Takes a job that another dispatcher had before. */
  private void resubmit(Caller caller, SubmitJob s, Queue queue, Instant now) {
    int maxAttempts = Math.max(1, queue.maxAttempts());
    Instant requestedAt = now.minus(s.waitTime());
    Instant callerTimeoutAt = now.plus(s.timeout());
    LiveJob job = liveJobs.newJob(s.job(), queue, maxAttempts, requestedAt, callerTimeoutAt);
    held.addResubmitted(job, caller, now);
    callers.put(s.job().id(), caller);
    activate(job, now);
    liveJobs.markStarted(job);
    addDecision("job_admitted", s.job().id(), "resubmitted", describe(caller, s));
  }

  private void admit(Caller caller, SubmitJob s, Queue queue, Instant now) {
    // Where a new leader starts jobs before it knows all workers, a larger one may still report.
    boolean needsKnown = !fallback || s.job().durable() || capacityKnown.getAsBoolean();
    for (StepSpec step : s.job().steps()) {
      if (needsKnown && !fleet.canEverFit(queue.service(), step.need())) {
        addDecision("job_refused", s.job().id(), "unsupported", "need=" + step.need());
        refuse(caller, s.job(), RequestAnswer.of(AnswerCode.UNSUPPORTED), now);
        return;
      }
    }
    Duration delay = delays.of(queue, now);
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
    String outcome = durable ? "kept" : "not_kept";
    inputs += objective + " " + describe(caller, s);
    addDecision("job_admitted", s.job().id(), outcome, inputs);
    callers.put(s.job().id(), caller);
    if (!durable) {
      activate(job, now);
      return;
    }
    LedgerBatch.Acceptance a = new LedgerBatch.Acceptance(s.job(), queue.name(), maxAttempts);
    commits.addJob(a, at -> onAccepted(job, at));
  }

  private String describe(Caller caller, SubmitJob s) {
    String by = " dispatcher=" + (term == 0 ? "fallback" : "leader") + " fence=" + fence;
    return "waited=" + s.waitTime() + " entry=" + caller.node() + by;
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
            stopped.stop(id);
            answer(caller, AnswerCode.ACCEPTED);
          });
    } else {
      addDecision("job_ended", id, "cancelled", "");
      stopped.stop(id);
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
    Duration delay = delays.of(job.queue, now);
    String inputs = "waited=" + Duration.between(job.requestedAt, now) + " delay=" + delay;
    addDecision("job_refused", job.job.id(), "overtaken", inputs);
    stopped.stop(job.job.id());
    Caller caller = callers.remove(job.job.id());
    if (caller != null) {
      refuse(caller, job.job, RequestAnswer.overloaded(Admission.retryAfter(delay)), now);
    }
  }

  /** Removes a job that was completed or failed by its runs, and answers its waiting caller. */
  void jobEnded(LiveJob job, JobPhase phase, Instant now) {
    boolean failed = phase == JobPhase.FAILED;
    String inputs = failed ? "attempts=" + job.maxAttempts : "queue=" + job.queue.name();
    String outcome = phase.name().toLowerCase(Locale.ROOT);
    addDecision("job_ended", job.job.id(), outcome, inputs + job.describeConfirmation(now));
    held.remove(job);
    liveJobs.remove(job);
    if (failed) {
      fleet.markRunsUnwanted(job, null);
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
    stopped.evictExpired(now);
    refusals.evictExpired(now);
    for (LiveJob job : liveJobs.tooLateToStart(now)) {
      refuseOvertaken(job, now);
    }
    callers.giveUpLost(now);
    for (LiveJob job : liveJobs.callerTimedOut(now)) {
      stopped.giveUp(job);
      callers.removeGivenUp(job, "caller_timeout");
      if (job.started) {
        // A repeated request may still arrive. It must not be refused, because a refusal states
        // that no task has run.
        recentAnswers.add(job.job.id(), RequestAnswer.of(AnswerCode.UNANSWERED), now);
      }
    }
  }

  /** Gives all jobs up with the given answer; nothing of them may be ordered any more. */
  void giveUp(AnswerCode code) {
    callers.removeAll(c -> answer(c, code));
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
    replies.send(caller.node(), new LeaderReply(caller.requestId(), answer, term));
  }
}
