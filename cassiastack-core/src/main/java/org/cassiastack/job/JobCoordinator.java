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
 * Sees jobs through from submission to their one whole answer.
 *
 * <ol>
 *   <li>A new job is queued task by task; a known one attaches its caller or gets the kept answer.
 *   <li>Tasks go to agents as slots free up, and are sent again to the same agent until it answers.
 *   <li>A task goes to another agent only with the proof that it did not start at the first.
 *   <li>The last result makes the answer; a failed task, a lost agent, a deadline or a cancellation
 *       fails the job as a whole.
 * </ol>
 *
 * @since 0.1
 */
public final class JobCoordinator implements Controller {
  private static final Duration PAUSE_AFTER_REFUSAL = Duration.ofMillis(100);

  private final Map<JobId, RunningJob> running = new LinkedHashMap<>();
  private final DispatchQueue queue = new DispatchQueue();
  private final Assignments assignments = new Assignments();
  private final MinionLoads loads = new MinionLoads();
  private final CustomerQuotas quotas = CustomerQuotas.create();
  private final Withdrawals withdrawals;
  private final Dispatcher dispatcher;
  private final KeyAgePolicy keyAges;
  private final RetainedAnswers retained;
  // Before the first renewal there is no configuration, so no service is known either.
  private Instant freshUntil = Instant.MAX;
  private MinionsChanged minions = new MinionsChanged(List.of(), Map.of());

  private JobCoordinator(Epoch epoch, MinionPicker picker, Duration retention, Instant birth) {
    this.withdrawals = new Withdrawals(epoch);
    this.dispatcher = new Dispatcher(epoch, picker, queue, assignments, loads, quotas);
    this.keyAges = new KeyAgePolicy(retention, birth);
    this.retained = new RetainedAnswers(retention);
  }

  /**
   * Makes a coordinator.
   *
   * @param epoch generation under which it hands out tasks
   * @param picker chooses minions
   * @param retention how long answers are kept; keys issued earlier than that are refused
   * @param birth keys issued before may have been taken by an earlier life that was lost, and are
   *     refused as may-have-run; it lies after the loss by the bound on the skew of callers' clocks
   */
  public static JobCoordinator create(
      Epoch epoch, MinionPicker picker, Duration retention, Instant birth) {
    return new JobCoordinator(epoch, picker, retention, birth);
  }

  /** Makes a coordinator that has no earlier life. */
  public static JobCoordinator create(Epoch epoch, MinionPicker picker, Duration retention) {
    return new JobCoordinator(epoch, picker, retention, Instant.EPOCH);
  }

  @Override
  public List<Effect> on(Event event, Instant now) {
    List<Effect> effects = new ArrayList<>();
    if (event instanceof JobSubmitted s) {
      submitted(s, now, effects);
    } else if (event instanceof Received r && r.message() instanceof TaskEnded m) {
      taskEnded(m, now, effects);
    } else if (event instanceof Received r && r.message() instanceof TaskNotStarted m) {
      taskNotStarted(m, now, effects);
    } else if (event instanceof JobCancelled c) {
      cancelled(c, now, effects);
    } else if (event instanceof JobStateAsked a) {
      effects.add(new ReportJobState(a.caller(), state(new JobId(a.customer(), a.key()), now)));
    } else if (event instanceof CallerGone g) {
      running.values().forEach(j -> j.callers().remove(g.caller()));
    } else if (event instanceof MinionsChanged m) {
      minionsChanged(m, now, effects);
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
      freshUntil = a.until();
    } else if (event instanceof Tick) {
      tick(now, effects);
    } else {
      return effects;
    }
    dispatcher.dispatchAll(now, effects);
    return effects;
  }

  private void submitted(JobSubmitted s, Instant now, List<Effect> effects) {
    Job job = s.job();
    JobDigest digest = JobDigest.of(job);
    Refusal refusal = refusalOf(s, digest, now);
    if (refusal != null) {
      effects.add(new AnswerCaller(s.caller(), JobAnswer.failed(job.key(), refusal)));
      return;
    }
    RetainedAnswer kept = retained.find(JobId.of(job));
    if (kept != null) {
      effects.add(new AnswerCaller(s.caller(), kept.answer()));
      return;
    }
    RunningJob j = running.get(JobId.of(job));
    if (j == null) {
      j = new RunningJob(job, digest, keyAges.deadline(job, now));
      running.put(j.id(), j);
      for (Task t : job.tasks()) {
        queue.addLast(j, t);
      }
    }
    j.callers().add(s.caller());
  }

  private @Nullable Refusal refusalOf(JobSubmitted s, JobDigest digest, Instant now) {
    Job job = s.job();
    JobId id = JobId.of(job);
    JobDigest known = knownDigest(id);
    if (known != null) {
      return known.equals(digest) ? null : Refusals.keyReused(job.key());
    }
    if (retained.find(id) != null) {
      return null;
    }
    Refusal wrongAge = keyAges.refusalOf(job.key(), now);
    if (wrongAge != null) {
      return wrongAge;
    }
    if (s.refusal() != null) {
      return s.refusal();
    }
    if (!now.isBefore(freshUntil)) {
      return Refusals.staleConfiguration();
    }
    if (!loads.serves(job.service(), now)) {
      return Refusals.noMinion(job.service());
    }
    return overLimit(job, now);
  }

  private @Nullable Refusal overLimit(Job job, Instant now) {
    int tasks = job.tasks().size();
    int ahead = queue.countTasksAhead(job.service(), job.customer(), tasks);
    double rate = loads.tasksPerSecond(job.service(), now);
    Refusal refusal = DeadlineAdmission.refusalOf(job, ahead, rate);
    return refusal == null ? quotas.admit(job.customer(), tasks, now) : refusal;
  }

  private @Nullable JobDigest knownDigest(JobId id) {
    RunningJob j = running.get(id);
    if (j != null) {
      return j.digest();
    }
    RetainedAnswer kept = retained.find(id);
    return kept == null ? null : kept.digest();
  }

  private void taskEnded(TaskEnded m, Instant now, List<Effect> effects) {
    Assignment a = assignments.remove(m.task());
    withdrawals.taskReturned(m.task());
    RunningJob j = a == null ? null : running.get(a.job());
    if (a != null && m.code() == ResultCode.COMPLETE) {
      loads.taskCompleted(a.load(), Duration.between(a.firstSentAt(), now));
    } else if (a != null) {
      minionFailed(a, now, effects);
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
      case KEY_EXPIRED -> Refusals.keyExpired(m.task().job().key(), retained.retention());
      default -> Refusals.minionLost(m.task());
    };
  }

  private void taskNotStarted(TaskNotStarted m, Instant now, List<Effect> effects) {
    if (!assignments.coversCurrentAttempt(m)) {
      return;
    }
    Assignment a = assignments.remove(m.task());
    withdrawals.taskReturned(m.task());
    if (a == null) {
      return;
    }
    refused(a, m.reason(), now, effects);
    RunningJob j = running.get(a.job());
    if (j != null) {
      effects.add(new CountRetry(RetryReason.of(m.reason())));
      if (leavesTombstone(m.reason())) {
        j.addTombstone(m.task().index(), a.load().target());
      }
      j.taskNotStarted();
      queue.addFirst(j, j.job().tasks().get(m.task().index()));
    }
  }

  private void refused(Assignment a, ResultCode reason, Instant now, List<Effect> effects) {
    if (reason == ResultCode.OVERLOADED) {
      a.load().taskRefusedAtCapacity(now);
    } else if (reason != ResultCode.CANCELLED_NOT_RUN) {
      a.load().pauseUntil(now.plus(PAUSE_AFTER_REFUSAL));
    }
    if (reason == ResultCode.NO_MINION) {
      minionFailed(a, now, effects);
    }
  }

  private static boolean leavesTombstone(ResultCode reason) {
    return reason == ResultCode.CANCELLED_NOT_RUN
        || reason == ResultCode.DEADLINE_NOT_RUN
        || reason == ResultCode.NO_MINION;
  }

  private void minionFailed(Assignment a, Instant now, List<Effect> effects) {
    loads.taskFailed(a.load(), a.job(), now);
    if (a.load().health().isEjected(now)) {
      withdrawals.withdraw(assignments.matching(x -> x.load() == a.load()), effects);
    }
  }

  private void cancelled(JobCancelled c, Instant now, List<Effect> effects) {
    JobId id = new JobId(c.customer(), c.key());
    RunningJob j = running.get(id);
    if (j != null) {
      j.callers().add(c.caller());
      fail(j, Refusals.cancelled(c.key(), j.mayHaveRun()), now, effects);
      return;
    }
    RetainedAnswer kept = retained.find(id);
    effects.add(new AnswerCaller(c.caller(), kept != null ? kept.answer() : unknown(id, now)));
  }

  /** The answer to a cancellation that overtook its job or names none. */
  private JobAnswer unknown(JobId id, Instant now) {
    Refusal forgotten = keyAges.unknownOutcomeRefusal(id.key(), now);
    if (forgotten != null) {
      return JobAnswer.failed(id.key(), forgotten);
    }
    JobAnswer answer = JobAnswer.failed(id.key(), Refusals.cancelled(id.key(), false));
    // Kept, so that the job is not run when it comes after all.
    retained.put(id, null, answer, now);
    return answer;
  }

  private JobState state(JobId id, Instant now) {
    RunningJob j = running.get(id);
    if (j != null) {
      return new JobState(id.key(), j.job().tasks().size(), j.endedTasks(), null);
    }
    RetainedAnswer kept = retained.find(id);
    if (kept == null) {
      Refusal forgotten = keyAges.unknownOutcomeRefusal(id.key(), now);
      Refusal reason = forgotten == null ? Refusals.unknownJob(id.key()) : forgotten;
      return new JobState(id.key(), 0, 0, JobAnswer.failed(id.key(), reason));
    }
    int tasks = kept.answer().results().size();
    return new JobState(id.key(), tasks, tasks, kept.answer());
  }

  private void minionsChanged(MinionsChanged m, Instant now, List<Effect> effects) {
    minions = m;
    loads.replace(m.available(), now);
    for (Assignment a : assignments.matching(this::isLost)) {
      assignments.remove(a.dispatch().task());
      RunningJob j = running.get(a.job());
      if (j != null) {
        fail(j, Refusals.agentLost(a.dispatch().task()), now, effects);
      }
    }
  }

  private boolean isLost(Assignment a) {
    return minions.isLost(a.load().target().agent(), a.load().target().incarnation());
  }

  private void tick(Instant now, List<Effect> effects) {
    retained.expire(now);
    quotas.expire(now);
    for (RunningJob j : List.copyOf(running.values())) {
      if (!now.isBefore(j.deadline())) {
        fail(j, Refusals.deadlinePassed(j.job().key(), j.mayHaveRun()), now, effects);
      }
    }
    withdrawals.withdraw(assignments.matching(a -> hasStraggled(a, now)), effects);
    for (Assignment a : assignments.matching(x -> x.isResendDue(now))) {
      resend(a, now, effects);
    }
  }

  private void resend(Assignment a, Instant now, List<Effect> effects) {
    RunningJob j = running.get(a.job());
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

  private boolean hasStraggled(Assignment a, Instant now) {
    return queue.size(a.load().target().minion().service()) == 0 && withdrawals.isStraggler(a, now);
  }

  private void fail(RunningJob j, Refusal refusal, Instant now, List<Effect> effects) {
    queue.removeJob(j);
    withdrawals.withdrawEveryAttempt(assignments.matching(x -> x.job().equals(j.id())), effects);
    finish(j, JobAnswer.failed(j.job().key(), refusal), now, effects);
  }

  private void finish(RunningJob j, JobAnswer answer, Instant now, List<Effect> effects) {
    running.remove(j.id());
    retained.put(j.id(), j.digest(), answer, now);
    for (CallerId caller : j.callers()) {
      effects.add(new AnswerCaller(caller, answer));
    }
  }
}
