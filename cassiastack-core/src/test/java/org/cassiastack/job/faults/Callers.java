package org.cassiastack.job.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.cassiastack.job.AnswerCaller;
import org.cassiastack.job.CallerId;
import org.cassiastack.model.Job;
import org.cassiastack.model.JobAnswer;
import org.cassiastack.model.JobId;
import org.cassiastack.model.ResultCode;
import org.cassiastack.model.TaskId;

/** Callers who check each answer against the starts that the minions counted. */
final class Callers {
  /** Answers of a submission that leave the coordinator free to take a later one. */
  private static final Set<ResultCode> REFUSED_ON_ARRIVAL =
      EnumSet.of(
          ResultCode.NO_MINION,
          ResultCode.OVERLOADED,
          ResultCode.KEY_EXPIRED,
          ResultCode.COORDINATOR_LOST);

  private final Map<CallerId, Job> waiting = new HashMap<>();
  private final Map<JobId, JobAnswer> first = new HashMap<>();
  private final Map<TaskId, Integer> starts = new HashMap<>();
  private final Set<JobId> notRun = new HashSet<>();
  private final Map<JobId, CallerId> lastSubmission = new HashMap<>();
  private final Map<ResultCode, Integer> counts = new HashMap<>();
  private long last;

  CallerId registerSubmission(Job job) {
    CallerId caller = registerCaller(job);
    notRun.remove(JobId.of(job));
    lastSubmission.put(JobId.of(job), caller);
    return caller;
  }

  CallerId registerCaller(Job job) {
    last++;
    CallerId caller = new CallerId(last);
    waiting.put(caller, job);
    return caller;
  }

  /** A new life of the coordinator knows nothing of the callers and answers of the last one. */
  void coordinatorCrashed() {
    waiting.clear();
    first.clear();
  }

  void checkStart(TaskId task) {
    assertThat(starts.merge(task, 1, Integer::sum)).as("starts of %s", task).isEqualTo(1);
    assertThat(notRun).as("jobs answered as not run").doesNotContain(task.job());
  }

  void checkAnswer(AnswerCaller effect) {
    JobAnswer answer = effect.answer();
    Job job = waiting.remove(effect.caller());
    assertThat(job).as("caller who waits for %s", answer).isNotNull();
    counts.merge(answer.code(), 1, Integer::sum);
    assertThat(answer.key()).isEqualTo(job.key());
    if (answer.isComplete()) {
      checkComplete(job, answer);
    } else {
      assertThat(answer.results()).isEmpty();
    }
    if (answer.code().isNotRun()) {
      assertThat(startsOf(job)).as("starts of a job answered as %s", answer.code()).isZero();
      markNotRun(effect.caller(), JobId.of(job));
    }
    if (!REFUSED_ON_ARRIVAL.contains(answer.code())) {
      JobAnswer before = first.putIfAbsent(JobId.of(job), answer);
      assertThat(answer).isEqualTo(before == null ? answer : before);
    }
  }

  int waiting() {
    return waiting.size();
  }

  int starts() {
    return starts.size();
  }

  Map<ResultCode, Integer> counts() {
    return counts;
  }

  private void markNotRun(CallerId answered, JobId job) {
    CallerId submitted = lastSubmission.get(job);
    // A later submission, which a frozen coordinator has yet to read, may well be taken.
    if (submitted == null || submitted.value() <= answered.value()) {
      notRun.add(job);
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
