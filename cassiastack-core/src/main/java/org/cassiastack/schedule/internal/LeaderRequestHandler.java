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
import org.cassiastack.queue.JobLedger;
import org.cassiastack.queue.JobPhase;
import org.cassiastack.queue.LedgerBatch;
import org.cassiastack.queue.Queue;
import org.cassiastack.queue.QueueConfiguration;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.queue.StepSpec;
import org.cassiastack.request.AskJob;
import org.cassiastack.request.AskQueueConfiguration;
import org.cassiastack.request.CancelJob;
import org.cassiastack.request.DeskCode;
import org.cassiastack.request.LeaderReply;
import org.cassiastack.request.LeaderRequest;
import org.cassiastack.request.QueueAddress;
import org.cassiastack.request.RequestAnswer;
import org.cassiastack.request.StoreConfiguration;
import org.cassiastack.request.SubmitJob;
import org.cassiastack.request.SwitchDomain;
import org.jspecify.annotations.Nullable;

/** Answers what callers and operators ask of the leader, from the ledger where it can. */
final class LeaderRequestHandler {
  private final long fence;
  private final JobLedger ledger;
  private final LiveJobs board;
  private final Fleet fleet;
  private final PendingCommits commits;
  private final Consumer<Decision> decisions;
  private final ReplySender replies;
  private final BooleanSupplier accounted;
  private final Map<QueuedJobId, Caller> callers = new HashMap<>();
  private final RecentAnswers recent = new RecentAnswers();

  LeaderRequestHandler(
      long fence,
      JobLedger ledger,
      LiveJobs board,
      Fleet fleet,
      PendingCommits commits,
      Consumer<Decision> decisions,
      ReplySender replies,
      BooleanSupplier accounted) {
    this.fence = fence;
    this.ledger = ledger;
    this.board = board;
    this.fleet = fleet;
    this.commits = commits;
    this.decisions = decisions;
    this.replies = replies;
    this.accounted = accounted;
  }

  /** Answers a request, at once or when it is committed. */
  void handle(NodeId from, LeaderRequest q, Instant now) {
    Caller caller = new Caller(from, q.requestId());
    if (q instanceof SubmitJob s) {
      submitted(caller, s, now);
    } else if (q instanceof AskJob a) {
      answer(caller, asked(a.address()));
    } else if (q instanceof CancelJob c) {
      cancelled(caller, c.address(), now);
    } else if (q instanceof StoreConfiguration s) {
      commits.addConfiguration(s.configuration(), at -> answer(caller, DeskCode.ACCEPTED));
    } else if (q instanceof SwitchDomain d) {
      commits.addDomainSwitch(
          new LedgerBatch.DomainSwitch(d.domain(), d.out()),
          at -> answer(caller, DeskCode.ACCEPTED));
    } else if (q instanceof AskQueueConfiguration) {
      QueueConfiguration c = ledger.configuration();
      answer(
          caller,
          c == null
              ? RequestAnswer.of(DeskCode.NOT_CONFIGURED)
              : RequestAnswer.document(c.document()));
    }
  }

  private void submitted(Caller caller, SubmitJob s, Instant now) {
    QueuedJobId id = s.job().id();
    RequestAnswer former = recent.findAndRefresh(id, now);
    if (former != null) {
      answer(caller, former);
      return;
    }
    if (ledger.contains(id)) {
      answer(caller, DeskCode.ACCEPTED);
      return;
    }
    if (board.find(id) != null || commits.isAccepting(id)) {
      // Whoever asked last is answered once the job is stored, or has ended.
      callers.put(id, caller);
      return;
    }
    QueueConfiguration c = ledger.configuration();
    if (c == null) {
      answer(caller, DeskCode.NOT_CONFIGURED);
      return;
    }
    Queue queue = c.find(s.address().host(), s.address().path());
    if (queue == null) {
      answer(caller, DeskCode.NO_SUCH_QUEUE);
      return;
    }
    admit(caller, s, queue, now);
  }

  private void admit(Caller caller, SubmitJob s, Queue queue, Instant now) {
    for (StepSpec step : s.job().steps()) {
      if (!fleet.canEverFit(queue.service(), step.need())) {
        decide("job_refused", s.job().id(), "unsupported", "need=" + step.need());
        refuse(caller, s.job().id(), RequestAnswer.of(DeskCode.UNSUPPORTED), now);
        return;
      }
    }
    Duration delay = delay(queue, now);
    boolean kept = s.job().durable();
    Instant askedAt = now.minus(s.waitTime());
    Instant abandonedAt = kept ? Instant.MAX : now.plus(s.timeout());
    LiveJob job = board.newJob(s.job(), queue, askedAt, abandonedAt);
    String inputs =
        "queue=" + queue.name() + " version=" + ledger.configurationVersion() + " delay=" + delay;
    if (!Admission.canEndUsefully(job, delay, now)) {
      decide("job_refused", s.job().id(), "overloaded", inputs);
      refuse(caller, s.job().id(), RequestAnswer.overloaded(Admission.retryAfter(delay)), now);
      return;
    }
    String objective = " objective=" + Duration.between(job.requestedAt, job.dueAt);
    decide("job_admitted", s.job().id(), kept ? "kept" : "not_kept", inputs + objective);
    callers.put(s.job().id(), caller);
    if (!kept) {
      begin(job, now);
      return;
    }
    LedgerBatch.Acceptance a =
        new LedgerBatch.Acceptance(s.job(), queue.name(), Math.max(1, queue.maxAttempts()));
    commits.addJob(a, at -> accepted(job, at));
  }

  /** Returns how long the work in front of a new job takes; nothing while workers are not known. */
  private Duration delay(Queue queue, Instant now) {
    if (!accounted.getAsBoolean()) {
      return Duration.ZERO;
    }
    return Admission.queueingDelay(
        board.workAhead(queue.service(), queue.priority()),
        fleet.capacityMilliCpu(queue.service(), now));
  }

  private void accepted(LiveJob job, Instant now) {
    QueuedJobId id = job.job.id();
    if (ledger.live(id) != null) {
      begin(job, now);
    }
    Caller caller = callers.remove(id);
    if (caller != null) {
      answer(caller, DeskCode.ACCEPTED);
    }
  }

  private void begin(LiveJob job, Instant now) {
    fleet.claimRunsOf(job);
    board.add(job, now);
    if (job.steps.stream().anyMatch(LiveStep::hasStartedTasks)) {
      board.markStarted(job);
    }
  }

  private RequestAnswer asked(QueueAddress address) {
    QueueConfiguration c = ledger.configuration();
    if (c == null) {
      return RequestAnswer.of(DeskCode.NOT_CONFIGURED);
    }
    Queue queue = c.find(address.host(), address.path());
    if (queue == null) {
      return RequestAnswer.of(DeskCode.NO_SUCH_QUEUE);
    }
    String rest = address.path().substring(queue.pathPrefix().length());
    if (rest.isEmpty()) {
      return RequestAnswer.pending(board.unstartedJobCount(queue.name()));
    }
    QueuedJobId id = QueuedJobId.parse(rest);
    JobPhase phase = id == null ? null : phase(id);
    return phase == null
        ? RequestAnswer.of(DeskCode.NO_SUCH_JOB)
        : RequestAnswer.phase(DeskCode.FOUND, phase);
  }

  private @Nullable JobPhase phase(QueuedJobId id) {
    JobPhase end = ledger.finalPhase(id);
    if (end != null || ledger.live(id) == null) {
      return end;
    }
    LiveJob job = board.find(id);
    return job == null || job.started ? JobPhase.RUNNING : JobPhase.QUEUED;
  }

  private void cancelled(Caller caller, QueueAddress address, Instant now) {
    int slash = address.path().lastIndexOf('/');
    QueuedJobId id = QueuedJobId.parse(address.path().substring(slash + 1));
    if (id == null
        || (!ledger.contains(id) && !commits.isAccepting(id) && board.find(id) == null)) {
      answer(caller, DeskCode.NO_SUCH_JOB);
    } else if (ledger.finalPhase(id) != null) {
      answer(caller, DeskCode.ACCEPTED);
    } else if (ledger.live(id) != null || commits.isAccepting(id)) {
      commits.addCancellation(
          id,
          at -> {
            decide("job_ended", id, "cancelled", "");
            drop(id);
            answer(caller, DeskCode.ACCEPTED);
          });
    } else {
      drop(id);
      finish(id, JobPhase.CANCELLED, now);
      answer(caller, DeskCode.ACCEPTED);
    }
  }

  /** Refuses a job, and remembers it for repeated requests: none of them may start it. */
  private void refuse(Caller caller, QueuedJobId id, RequestAnswer refusal, Instant now) {
    recent.add(id, refusal, now);
    answer(caller, refusal);
  }

  private void refuse(LiveJob job, Instant now) {
    Duration delay = delay(job.queue, now);
    String inputs = "waited=" + Duration.between(job.requestedAt, now) + " delay=" + delay;
    decide("job_refused", job.job.id(), "overtaken", inputs);
    drop(job.job.id());
    Caller caller = callers.remove(job.job.id());
    if (caller != null) {
      refuse(caller, job.job.id(), RequestAnswer.overloaded(Admission.retryAfter(delay)), now);
    }
  }

  /** Takes a job off the board and stops what runs of it. */
  private void drop(QueuedJobId id) {
    LiveJob job = board.find(id);
    if (job != null) {
      board.remove(job);
      if (job.started) {
        fleet.markRunsUnwanted(job);
      }
    }
  }

  /** Takes a job off the board that has ended by its runs, and answers who waits for it. */
  void jobEnded(LiveJob job, JobPhase phase, Instant now) {
    boolean failed = phase == JobPhase.FAILED;
    String inputs = failed ? "attempts=" + job.queue.maxAttempts() : "queue=" + job.queue.name();
    decide("job_ended", job.job.id(), phase.name().toLowerCase(Locale.ROOT), inputs);
    board.remove(job);
    if (failed) {
      fleet.markRunsUnwanted(job);
    }
    finish(job.job.id(), phase, now);
  }

  /** Answers the caller who waits for the end of a job that is not kept. */
  private void finish(QueuedJobId id, JobPhase phase, Instant now) {
    if (ledger.contains(id)) {
      return;
    }
    RequestAnswer answer = RequestAnswer.phase(DeskCode.ACCEPTED, phase);
    recent.add(id, answer, now);
    Caller caller = callers.remove(id);
    if (caller != null) {
      answer(caller, answer);
    }
  }

  /**
   * Refuses the jobs that would end too late to be of use, rather than let their callers wait until
   * they know it themselves, and gives up those that nobody waits for any more.
   */
  void tick(Instant now) {
    recent.evictExpired(now);
    for (LiveJob job : board.tooLateToStart(now)) {
      refuse(job, now);
    }
    for (LiveJob job : board.callerTimedOut(now)) {
      QueuedJobId id = job.job.id();
      drop(id);
      callers.remove(id);
      if (job.started) {
        // A repeat may still be on its way: it must not be refused as if nothing had run.
        recent.add(id, RequestAnswer.of(DeskCode.UNANSWERED), now);
      }
    }
  }

  private void decide(String event, Object subject, String outcome, String inputs) {
    decisions.accept(Decision.of(event, subject, outcome, inputs));
  }

  private void answer(Caller caller, DeskCode code) {
    answer(caller, RequestAnswer.of(code));
  }

  private void answer(Caller caller, RequestAnswer answer) {
    replies.send(caller.node(), new LeaderReply(caller.call(), answer, fence));
  }

  private record Caller(NodeId node, long call) {}
}
