package org.cassiastack.job;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cassiastack.configuration.ConfigurationChanged;
import org.cassiastack.configuration.StartsAllowed;
import org.cassiastack.controller.Controller;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Tick;
import org.cassiastack.job.internal.Assignments;
import org.cassiastack.job.internal.Assignments.Assignment;
import org.cassiastack.job.internal.DispatchQueue;
import org.cassiastack.job.internal.Dispatcher;
import org.cassiastack.job.internal.JobDigest;
import org.cassiastack.job.internal.KeyAgePolicy;
import org.cassiastack.job.internal.MinionLoads;
import org.cassiastack.job.internal.RetainedAnswers;
import org.cassiastack.job.internal.RetainedAnswers.RetainedAnswer;
import org.cassiastack.job.internal.RunningJob;
import org.cassiastack.job.internal.Withdrawals;
import org.cassiastack.limit.CustomerQuotas;
import org.cassiastack.limit.DeadlineAdmission;
import org.cassiastack.limit.QuotaShare;
import org.cassiastack.membership.MinionsChanged;
import org.cassiastack.model.Epoch;
import org.cassiastack.model.Job;
import org.cassiastack.model.JobAnswer;
import org.cassiastack.model.JobId;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Refusal;
import org.cassiastack.model.Refusals;
import org.cassiastack.model.ResultCode;
import org.cassiastack.model.Task;
import org.cassiastack.model.TaskResult;
import org.cassiastack.protocol.Dispatch;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.cassiastack.protocol.TaskEnded;
import org.cassiastack.protocol.TaskNotStarted;
import org.cassiastack.retry.CountRetry;
import org.cassiastack.retry.RetryReason;
import org.cassiastack.routing.MinionPicker;
import org.jspecify.annotations.Nullable;

/**
 * Coordinates each job from its submission to its answer, which holds either every result or one
 * failure of the whole job.
 *
 * <ol>
 *   <li>The tasks of a new job are queued. The submission of a known job attaches its caller to the
 *       running job, or is answered with the retained answer.
 *   <li>Tasks are dispatched to agents as slots become free. An unanswered dispatch is sent again
 *       to the same agent until the agent answers.
 *   <li>A task is dispatched to another agent only after the first agent has proven, by {@link
 *       TaskNotStarted}, that the task did not start there.
 *   <li>A job completes once each of its tasks has a result. A failed task, a lost agent, a passed
 *       deadline or a cancellation fails the whole job.
 * </ol>
 *
 * @since 0.1
 */
public final class JobCoordinator implements Controller {
  private static final Duration PAUSE_AFTER_REFUSAL = Duration.ofMillis(100);

  private final Map<JobId, RunningJob> runningJobs = new LinkedHashMap<>();
  private final DispatchQueue queue = new DispatchQueue();
  private final Assignments assignments = new Assignments();
  private final MinionLoads loads = new MinionLoads();
  private final CustomerQuotas quotas = CustomerQuotas.create();
  private final Withdrawals withdrawals;
  private final Dispatcher dispatcher;
  private final KeyAgePolicy keyAgePolicy;
  private final RetainedAnswers retainedAnswers;
  // The first StartsAllowed event arrives with the first configuration. Before that configuration,
  // no minion is in service, so every new job is refused.
  private Instant startsAllowedUntil = Instant.MAX;
  private MinionsChanged minions = new MinionsChanged(List.of(), Map.of());

  private JobCoordinator(
      Epoch epoch, MinionPicker picker, Duration retention, Instant trackedSince) {
    this.withdrawals = new Withdrawals(epoch);
    this.dispatcher = new Dispatcher(epoch, picker, queue, assignments, loads, quotas);
    this.keyAgePolicy = new KeyAgePolicy(retention, trackedSince);
    this.retainedAnswers = new RetainedAnswers(retention);
  }

  /**
   * Creates a coordinator.
   *
   * @param epoch epoch that the dispatches and withdrawals of the coordinator carry
   * @param picker chooses the minion of each task
   * @param retention how long answers are retained; jobs whose key was issued longer ago are
   *     refused
   * @param trackedSince jobs whose key was issued before this time may have been accepted by an
   *     earlier incarnation whose state was lost, and are refused with {@link
   *     ResultCode#COORDINATOR_LOST}; this is the time of that loss plus the bound on the clock
   *     skew of callers
   */
  public static JobCoordinator create(
      Epoch epoch, MinionPicker picker, Duration retention, Instant trackedSince) {
    return new JobCoordinator(epoch, picker, retention, trackedSince);
  }

  /**
   * Creates a coordinator that has no earlier incarnation, so that no key is refused for having
   * been issued before the coordinator started.
   */
  public static JobCoordinator create(Epoch epoch, MinionPicker picker, Duration retention) {
    return new JobCoordinator(epoch, picker, retention, Instant.EPOCH);
  }

  @Override
  public List<Effect> on(Event event, Instant now) {
    List<Effect> effects = new ArrayList<>();
    if (event instanceof JobSubmitted s) {
      onSubmitted(s, now, effects);
    } else if (event instanceof Received r && r.message() instanceof TaskEnded m) {
      onTaskEnded(m, now, effects);
    } else if (event instanceof Received r && r.message() instanceof TaskNotStarted m) {
      onTaskNotStarted(m, now, effects);
    } else if (event instanceof JobCancelled c) {
      onCancelled(c, now, effects);
    } else if (event instanceof JobStateAsked a) {
      effects.add(
          new ReportJobState(a.requestId(), stateOf(new JobId(a.customer(), a.key()), now)));
    } else if (event instanceof CallerGone g) {
      runningJobs.values().forEach(j -> j.callers().remove(g.requestId()));
    } else if (event instanceof MinionsChanged m) {
      onMinionsChanged(m, now, effects);
    } else if (event instanceof ConfigurationChanged c) {
      loads.configurationChanged(c.configuration(), now);
      quotas.configurationChanged(c.configuration(), now);
      withdrawals.withdraw(assignments.matching(a -> !loads.isInService(a.load())), effects);
    } else if (event instanceof CoordinatorsChanged c) {
      loads.setCoordinatorCount(c.count());
      quotas.setCoordinatorCount(c.count(), now);
    } else if (event instanceof QuotaShare q) {
      quotas.shareGranted(q, now);
    } else if (event instanceof StartsAllowed a) {
      startsAllowedUntil = a.until();
    } else if (event instanceof Tick) {
      onTick(now, effects);
    } else {
      return effects;
    }
    dispatcher.dispatchAll(now, effects);
    return effects;
  }

  private void onSubmitted(JobSubmitted s, Instant now, List<Effect> effects) {
    Job job = s.job();
    JobDigest digest = JobDigest.of(job);
    Refusal refusal = refusalOf(s, digest, now);
    if (refusal != null) {
      effects.add(new AnswerCaller(s.requestId(), JobAnswer.failed(job.key(), refusal)));
      return;
    }
    RetainedAnswer retained = retainedAnswers.find(JobId.of(job));
    if (retained != null) {
      effects.add(new AnswerCaller(s.requestId(), retained.answer()));
      return;
    }
    RunningJob j = runningJobs.get(JobId.of(job));
    if (j == null) {
      j = new RunningJob(job, digest, keyAgePolicy.deadline(job, now));
      runningJobs.put(j.id(), j);
      for (Task t : job.tasks()) {
        queue.addLast(j, t);
      }
    }
    j.callers().add(s.requestId());
  }

  private @Nullable Refusal refusalOf(JobSubmitted s, JobDigest digest, Instant now) {
    Job job = s.job();
    JobId id = JobId.of(job);
    JobDigest known = knownDigest(id);
    if (known != null) {
      return known.equals(digest) ? null : Refusals.keyReused(job.key());
    }
    if (retainedAnswers.find(id) != null) {
      return null;
    }
    Refusal keyRefusal = keyAgePolicy.refusalOf(job.key(), now);
    if (keyRefusal != null) {
      return keyRefusal;
    }
    if (s.refusal() != null) {
      return s.refusal();
    }
    if (!now.isBefore(startsAllowedUntil)) {
      return Refusals.staleConfiguration();
    }
    if (!loads.serves(job.service(), now)) {
      return Refusals.noMinion(job.service());
    }
    return limitRefusal(job, now);
  }

  private @Nullable Refusal limitRefusal(Job job, Instant now) {
    int tasks = job.tasks().size();
    int ahead = queue.countTasksAhead(job.service(), job.customer(), tasks);
    double rate = loads.tasksPerSecond(job.service(), now);
    Refusal refusal = DeadlineAdmission.refusalOf(job, ahead, rate);
    return refusal == null ? quotas.admit(job.customer(), tasks, now) : refusal;
  }

  private @Nullable JobDigest knownDigest(JobId id) {
    RunningJob j = runningJobs.get(id);
    if (j != null) {
      return j.digest();
    }
    RetainedAnswer retained = retainedAnswers.find(id);
    return retained == null ? null : retained.digest();
  }

  private void onTaskEnded(TaskEnded m, Instant now, List<Effect> effects) {
    Assignment a = assignments.remove(m.task());
    withdrawals.taskReturned(m.task());
    RunningJob j = a == null ? null : runningJobs.get(a.job());
    if (a != null && m.code() == ResultCode.COMPLETE) {
      loads.taskCompleted(a.load(), Duration.between(a.firstSentAt(), now));
    } else if (a != null) {
      recordMinionFailure(a, now, effects);
    }
    if (j == null) {
      return;
    }
    if (m.code() != ResultCode.COMPLETE) {
      fail(j, failureOf(m), now, effects);
      return;
    }
    j.taskEnded(TaskResult.complete(m.task().index(), m.output()));
    if (j.isDone()) {
      finish(j, j.completeAnswer(), now, effects);
    }
  }

  private Refusal failureOf(TaskEnded m) {
    return switch (m.code()) {
      case TASK_FAILED -> Refusals.taskFailed(m.task());
      case KEY_EXPIRED -> Refusals.keyExpired(m.task().job().key(), retainedAnswers.retention());
      default -> Refusals.minionLost(m.task());
    };
  }

  private void onTaskNotStarted(TaskNotStarted m, Instant now, List<Effect> effects) {
    if (!assignments.coversCurrentAttempt(m)) {
      return;
    }
    Assignment a = assignments.remove(m.task());
    withdrawals.taskReturned(m.task());
    if (a == null) {
      return;
    }
    recordRefusal(a, m.reason(), now, effects);
    RunningJob j = runningJobs.get(a.job());
    if (j != null) {
      effects.add(new CountRetry(RetryReason.of(m.reason())));
      if (leavesTombstone(m.reason())) {
        j.addTombstone(m.task().index(), a.load().target());
      }
      j.taskNotStarted();
      queue.addFirst(j, j.job().tasks().get(m.task().index()));
    }
  }

  private void recordRefusal(Assignment a, ResultCode reason, Instant now, List<Effect> effects) {
    if (reason == ResultCode.OVERLOADED) {
      a.load().taskRefusedAtCapacity(now);
    } else if (reason != ResultCode.CANCELLED_NOT_RUN) {
      a.load().pauseUntil(now.plus(PAUSE_AFTER_REFUSAL));
    }
    if (reason == ResultCode.NO_MINION) {
      recordMinionFailure(a, now, effects);
    }
  }

  private static boolean leavesTombstone(ResultCode reason) {
    return reason == ResultCode.CANCELLED_NOT_RUN
        || reason == ResultCode.DEADLINE_NOT_RUN
        || reason == ResultCode.NO_MINION;
  }

  private void recordMinionFailure(Assignment a, Instant now, List<Effect> effects) {
    loads.taskFailed(a.load(), a.job(), now);
    if (a.load().health().isEjected(now)) {
      withdrawals.withdraw(assignments.matching(x -> x.load() == a.load()), effects);
    }
  }

  private void onCancelled(JobCancelled c, Instant now, List<Effect> effects) {
    JobId id = new JobId(c.customer(), c.key());
    RunningJob j = runningJobs.get(id);
    if (j != null) {
      j.callers().add(c.requestId());
      fail(j, Refusals.cancelled(c.key(), j.mayHaveRun()), now, effects);
      return;
    }
    RetainedAnswer retained = retainedAnswers.find(id);
    effects.add(
        new AnswerCaller(
            c.requestId(), retained != null ? retained.answer() : answerUnknownJob(id, now)));
  }

  /** Answers a cancellation of a job that is not running and has no retained answer. */
  private JobAnswer answerUnknownJob(JobId id, Instant now) {
    Refusal unknownOutcome = keyAgePolicy.unknownOutcomeRefusal(id.key(), now);
    if (unknownOutcome != null) {
      return JobAnswer.failed(id.key(), unknownOutcome);
    }
    JobAnswer answer = JobAnswer.failed(id.key(), Refusals.cancelled(id.key(), false));
    // Retained, so that the job is not run if the submission of the job arrives later.
    retainedAnswers.put(id, null, answer, now);
    return answer;
  }

  private JobState stateOf(JobId id, Instant now) {
    RunningJob j = runningJobs.get(id);
    if (j != null) {
      return new JobState(id.key(), j.job().tasks().size(), j.endedTasks(), null);
    }
    RetainedAnswer retained = retainedAnswers.find(id);
    if (retained == null) {
      Refusal unknownOutcome = keyAgePolicy.unknownOutcomeRefusal(id.key(), now);
      Refusal reason = unknownOutcome == null ? Refusals.unknownJob(id.key()) : unknownOutcome;
      return new JobState(id.key(), 0, 0, JobAnswer.failed(id.key(), reason));
    }
    int tasks = retained.answer().results().size();
    return new JobState(id.key(), tasks, tasks, retained.answer());
  }

  private void onMinionsChanged(MinionsChanged m, Instant now, List<Effect> effects) {
    minions = m;
    loads.replace(m.available(), now);
    for (Assignment a : assignments.matching(this::isLost)) {
      assignments.remove(a.dispatch().task());
      RunningJob j = runningJobs.get(a.job());
      if (j != null) {
        fail(j, Refusals.agentLost(a.dispatch().task()), now, effects);
      }
    }
  }

  private boolean isLost(Assignment a) {
    return minions.isLost(a.load().target().agent(), a.load().target().incarnation());
  }

  private void onTick(Instant now, List<Effect> effects) {
    retainedAnswers.expire(now);
    quotas.expire(now);
    for (RunningJob j : List.copyOf(runningJobs.values())) {
      if (!now.isBefore(j.deadline())) {
        fail(j, Refusals.deadlinePassed(j.job().key(), j.mayHaveRun()), now, effects);
      }
    }
    withdrawals.withdraw(assignments.matching(a -> isWithdrawableStraggler(a, now)), effects);
    for (Assignment a : assignments.matching(x -> x.isResendDue(now))) {
      resend(a, now, effects);
    }
  }

  private void resend(Assignment a, Instant now, List<Effect> effects) {
    RunningJob j = runningJobs.get(a.job());
    NodeId agent = a.load().target().agent();
    if (j == null) {
      assignments.recordResend(a, a.dispatch(), now);
      withdrawals.withdrawEveryAttempt(List.of(a), effects);
      return;
    }
    Dispatch again = a.dispatch().withTimeout(Duration.between(now, j.deadline()));
    assignments.recordResend(a, again, now);
    effects.add(new CountRetry(RetryReason.UNANSWERED));
    effects.add(new Send(agent, again));
  }

  private boolean isWithdrawableStraggler(Assignment a, Instant now) {
    return queue.size(a.load().target().minion().service()) == 0 && withdrawals.isStraggler(a, now);
  }

  private void fail(RunningJob j, Refusal refusal, Instant now, List<Effect> effects) {
    queue.removeJob(j);
    withdrawals.withdrawEveryAttempt(assignments.matching(x -> x.job().equals(j.id())), effects);
    finish(j, JobAnswer.failed(j.job().key(), refusal), now, effects);
  }

  private void finish(RunningJob j, JobAnswer answer, Instant now, List<Effect> effects) {
    runningJobs.remove(j.id());
    retainedAnswers.put(j.id(), j.digest(), answer, now);
    for (CallerRequestId caller : j.callers()) {
      effects.add(new AnswerCaller(caller, answer));
    }
  }
}
