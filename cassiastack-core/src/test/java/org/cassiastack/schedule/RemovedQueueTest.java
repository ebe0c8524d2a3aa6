package org.cassiastack.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.cassiastack.consensus.LeaderChanged;
import org.cassiastack.consensus.SnapshotRestored;
import org.cassiastack.decision.Decision;
import org.cassiastack.model.Payload;
import org.cassiastack.queue.JobPhase;
import org.cassiastack.queue.LedgerBatch;
import org.cassiastack.queue.LedgerSnapshot;
import org.cassiastack.queue.QueuedJob;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.queue.StepSpec;
import org.cassiastack.request.AnswerCode;
import org.cassiastack.request.AskJob;
import org.cassiastack.request.RequestAnswer;
import org.cassiastack.request.StoreConfiguration;
import org.cassiastack.runs.EndedRun;
import org.cassiastack.runs.RunId;
import org.cassiastack.runs.RunOutcome;
import org.cassiastack.runs.StartOrder;
import org.junit.jupiter.api.Test;

/** Tests jobs whose queue is removed or changed while their acceptance is being committed. */
class RemovedQueueTest extends LeaderScenario {
  /** Guards against a job that ends all leadership because its queue is unknown. */
  @Test
  void a_job_that_follows_two_removals_of_its_queue_is_refused_and_the_next_leader_starts() {
    submitBehindTwoRemovals();
    commitHeldProposals();
    List<RequestAnswer> answersBefore = List.copyOf(answers);
    answers.clear();

    lead(6);
    report(FIRST, List.of(), List.of());
    report(SECOND, List.of(), List.of());
    request(new StoreConfiguration(++lastRequestId, configuration(4, queue("q", 2))));
    submit(1, true);

    assertThat(answersBefore).contains(RequestAnswer.of(AnswerCode.NO_SUCH_QUEUE));
    assertThat(answers).extracting(RequestAnswer::code).containsOnly(AnswerCode.ACCEPTED);
    assertThat(started()).hasSize(1);
  }

  @Test
  void a_repeated_submission_of_a_job_that_was_refused_for_its_queue_is_refused_again() {
    submitBehindTwoRemovals();
    commitHeldProposals();
    answers.clear();

    submit(1, true);

    assertThat(answers).containsExactly(RequestAnswer.of(AnswerCode.NO_SUCH_QUEUE));
    assertThat(started()).isEmpty();
  }

  /** Guards against a leader that counts attempts by another limit than the ledger. */
  @Test
  void a_new_leader_counts_the_attempts_of_a_job_by_the_limit_it_was_accepted_with() {
    submit(1, true);
    RunId first = started().get(0);
    report(lastStartAgent, List.of(), List.of(new EndedRun(1, first, RunOutcome.FAILED)));
    request(new StoreConfiguration(++lastRequestId, configuration(2, queue("q", 5))));
    lead(6);
    report(FIRST, List.of(), List.of());
    report(SECOND, List.of(), List.of());
    int startsBefore = started().size();
    List<StartOrder> orders = starts.get(lastStartAgent);
    RunId second = orders.get(orders.size() - 1).run();

    report(lastStartAgent, List.of(), List.of(new EndedRun(2, second, RunOutcome.FAILED)));
    request(new AskJob(++lastRequestId, ADDRESS));

    assertThat(answers.get(answers.size() - 1).phase()).isEqualTo(JobPhase.FAILED);
    assertThat(started()).hasSize(startsBefore);
  }

  /** Guards against one unreadable job that keeps a leader from starting its term. */
  @Test
  void a_new_leader_starts_the_other_jobs_when_one_job_cannot_be_restored() {
    QueuedJob broken = new QueuedJob(new QueuedJobId(0xbbL), "spec", List.of(cyclicStep()), true);
    on(new LeaderChanged(6, null, false));
    on(
        new SnapshotRestored(
            ++lastCommitIndex, stateWith(broken, job(List.of(step(1, 1_000)), true))));

    lead(7);
    for (int i = 0; i < 2; i++) {
      report(FIRST, List.of(), List.of());
      report(SECOND, List.of(), List.of());
    }

    assertThat(started()).extracting(r -> r.task().job()).containsExactly(ID);
    assertThat(decisions).extracting(Decision::event).contains("job_not_restored");
  }

  private void submitBehindTwoRemovals() {
    holdCommits = true;
    request(new StoreConfiguration(++lastRequestId, configuration(2, queue("other", 2))));
    request(new StoreConfiguration(++lastRequestId, configuration(3, queue("other", 2))));
    submit(1, true);
  }

  private static StepSpec cyclicStep() {
    StepSpec s = step(1, 1_000);
    return new StepSpec(
        s.taskCount(),
        s.milliCpu(),
        s.memoryMb(),
        s.gpus(),
        s.estimatedRunTime(),
        List.of(0),
        s.requiredLabel(),
        s.dataRack(),
        s.maxPerMinion());
  }

  private Payload stateWith(QueuedJob... jobs) {
    List<LedgerSnapshot.LiveJob> live =
        Stream.of(jobs)
            .map(j -> new LedgerBatch.Acceptance(j, "q", 2))
            .map(a -> new LedgerSnapshot.LiveJob(a, List.of(), List.of()))
            .toList();
    return codec.encode(
        new LedgerSnapshot(
            now, 1, configuration(), List.of(), List.of(), List.of(), live, List.of()));
  }
}
