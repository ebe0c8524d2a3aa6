package org.cassiastack.job.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.cassiastack.job.AnswerCaller;
import org.cassiastack.job.CallerRequestId;
import org.cassiastack.model.Job;
import org.cassiastack.model.JobAnswer;
import org.cassiastack.model.JobId;
import org.cassiastack.model.ResultCode;
import org.cassiastack.model.TaskId;

/**
 * Callers that check each answer against the task starts at the minions: a complete answer needs
 * one start of each task and a not-run answer needs none. All answers of a job are the same, apart
 * from refused submissions.
 */
final class Callers {
  /** Codes that refuse one submission; the coordinator may accept a later submission of the job. */
  private static final Set<ResultCode> REFUSED_ON_SUBMISSION =
      EnumSet.of(
          ResultCode.NO_MINION,
          ResultCode.OVERLOADED,
          ResultCode.KEY_EXPIRED,
          ResultCode.COORDINATOR_LOST);

  private final Map<CallerRequestId, Job> waiting = new HashMap<>();
  private final Map<JobId, JobAnswer> firstAnswers = new HashMap<>();
  private final Map<TaskId, Integer> starts = new HashMap<>();
  private final Set<JobId> answeredAsNotRun = new HashSet<>();
  private final Map<JobId, CallerRequestId> lastSubmission = new HashMap<>();
  private final Map<ResultCode, Integer> answerCounts = new HashMap<>();
  private long lastId;

  CallerRequestId registerSubmission(Job job) {
    CallerRequestId caller = registerCaller(job);
    answeredAsNotRun.remove(JobId.of(job));
    lastSubmission.put(JobId.of(job), caller);
    return caller;
  }

  CallerRequestId registerCaller(Job job) {
    lastId++;
    CallerRequestId caller = new CallerRequestId(lastId);
    waiting.put(caller, job);
    return caller;
  }

  /** A restarted coordinator has neither the callers nor the answers of its earlier incarnation. */
  void coordinatorCrashed() {
    waiting.clear();
    firstAnswers.clear();
  }

  void checkStart(TaskId task) {
    assertThat(starts.merge(task, 1, Integer::sum)).as("starts of %s", task).isEqualTo(1);
    assertThat(answeredAsNotRun).as("jobs answered as not run").doesNotContain(task.job());
  }

  void checkAnswer(AnswerCaller effect) {
    JobAnswer answer = effect.answer();
    Job job = waiting.remove(effect.requestId());
    assertThat(job).as("caller who waits for %s", answer).isNotNull();
    answerCounts.merge(answer.code(), 1, Integer::sum);
    assertThat(answer.key()).isEqualTo(job.key());
    if (answer.isComplete()) {
      checkComplete(job, answer);
    } else {
      assertThat(answer.results()).isEmpty();
    }
    if (answer.code().isNotRun()) {
      assertThat(startsOf(job)).as("starts of a job answered as %s", answer.code()).isZero();
      markNotRun(effect.requestId(), JobId.of(job));
    }
    if (!REFUSED_ON_SUBMISSION.contains(answer.code())) {
      JobAnswer earlierAnswer = firstAnswers.putIfAbsent(JobId.of(job), answer);
      assertThat(answer).isEqualTo(earlierAnswer == null ? answer : earlierAnswer);
    }
  }

  int waiting() {
    return waiting.size();
  }

  int starts() {
    return starts.size();
  }

  Map<ResultCode, Integer> answerCounts() {
    return answerCounts;
  }

  private void markNotRun(CallerRequestId answeredCaller, JobId job) {
    CallerRequestId submittedCaller = lastSubmission.get(job);
    // A later submission, which a paused coordinator has not processed yet, may be accepted.
    if (submittedCaller == null || submittedCaller.value() <= answeredCaller.value()) {
      answeredAsNotRun.add(job);
    }
  }

  private void checkComplete(Job job, JobAnswer answer) {
    assertThat(answer.results()).hasSize(job.tasks().size());
    for (int i = 0; i < job.tasks().size(); i++) {
      TaskId id = new TaskId(JobId.of(job), i);
      assertThat(starts.get(id)).isEqualTo(1);
      assertThat(answer.results().get(i).index()).isEqualTo(i);
      assertThat(answer.results().get(i).output().toText()).isEqualTo(id.toString());
    }
  }

  private int startsOf(Job job) {
    int sum = 0;
    for (int i = 0; i < job.tasks().size(); i++) {
      sum += starts.getOrDefault(new TaskId(JobId.of(job), i), 0);
    }
    return sum;
  }
}
