package org.cassiastack.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.cassiastack.consensus.LeaseExtended;
import org.cassiastack.controller.Tick;
import org.cassiastack.decision.Decision;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.PeerDisconnected;
import org.cassiastack.protocol.Send;
import org.cassiastack.queue.QueuedJob;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.request.AnswerCode;
import org.cassiastack.request.LeaderReply;
import org.cassiastack.request.QueueAddress;
import org.cassiastack.request.RequestAnswer;
import org.cassiastack.request.ResubmitJob;
import org.cassiastack.request.SubmitJob;
import org.cassiastack.runs.ActiveRun;
import org.cassiastack.runs.Fences;
import org.cassiastack.runs.RunId;
import org.junit.jupiter.api.Test;

/** Tests a leader with fallback dispatchers, in particular one that has just been elected. */
class FallbackLeaderTest extends FallbackLeaderScenario {
  private static final NodeId LOST = new NodeId("10.0.0.3/entry");

  @Test
  void a_new_leader_starts_a_new_job_on_the_first_worker_that_has_reported() {
    lead(6);
    report(FIRST, List.of(), List.of());

    submit(1, false);

    assertThat(starts.get(FIRST)).hasSize(1);
  }

  @Test
  void a_new_leader_starts_no_new_job_on_a_worker_whose_lists_are_not_complete() {
    lead(6);
    reportFirstEnds(FIRST, List.of());

    submit(1, false);

    assertThat(started()).isEmpty();
  }

  /** Guards against held steps that block the steps behind them in the ready queue. */
  @Test
  void a_new_leader_starts_a_new_job_while_a_job_of_the_ledger_waits_for_the_agents() {
    submit(1, true);
    starts.clear();
    lead(6);
    report(FIRST, List.of(), List.of());

    submitNew(1);
    List<QueuedJobId> early = jobs(started());
    report(SECOND, List.of(), List.of());

    assertThat(early).containsExactly(NEW);
    assertThat(jobs(started())).containsExactlyInAnyOrder(NEW, ID);
  }

  @Test
  void a_new_leader_starts_a_job_of_the_ledger_when_the_leases_of_silent_agents_have_expired() {
    submit(1, true);
    starts.clear();
    lead(6);
    now = now.plus(SETTINGS.leaseExpiryTimeout());
    report(FIRST, List.of(), List.of());

    on(new Tick());

    assertThat(jobs(started())).containsExactly(ID);
  }

  @Test
  void a_new_leader_stops_runs_of_unknown_jobs_only_after_300_ms() {
    lead(6);
    report(FIRST, List.of(new ActiveRun(EARLIER, 10)), List.of());
    now = now.plusMillis(290);
    on(new Tick());
    List<RunId> early = List.copyOf(stops);
    now = now.plusMillis(20);

    on(new Tick());

    assertThat(early).isEmpty();
    assertThat(stops).containsExactly(EARLIER);
  }

  /** Guards against refusals of jobs of which a fallback dispatcher has run tasks. */
  @Test
  void never_refuses_a_resubmitted_job() {
    QueuedJob tooLarge = new QueuedJob(ID, "spec", List.of(step(1, 9_000)), false);
    request(SubmitJob.of(++lastRequestId, ADDRESS, tooLarge, Duration.ofSeconds(1)));
    answers.clear();

    request(
        new ResubmitJob(
            SubmitJob.of(++lastRequestId, ADDRESS, tooLarge, Duration.ofMillis(500)), now));
    QueueAddress unknown = new QueueAddress("h", "/none/" + NEW);
    QueuedJob other = new QueuedJob(NEW, "spec", List.of(step(1, 1_000)), false);
    request(
        new ResubmitJob(SubmitJob.of(++lastRequestId, unknown, other, Duration.ofSeconds(1)), now));
    now = now.plusSeconds(2);
    on(new LeaseExtended(5, now.plusSeconds(10)));
    on(new Tick());

    assertThat(answers).extracting(RequestAnswer::code).containsExactly(AnswerCode.UNANSWERED);
  }

  @Test
  void a_new_leader_does_not_refuse_a_job_that_a_worker_not_known_yet_may_fit() {
    lead(6);
    report(FIRST, List.of(), List.of());
    QueuedJob large = new QueuedJob(ID, "spec", List.of(step(1, 9_000)), false);

    request(SubmitJob.of(++lastRequestId, ADDRESS, large, Duration.ofSeconds(1)));

    assertThat(answers).isEmpty();
  }

  @Test
  void hands_the_leadership_over_at_most_twice_a_second_to_agents_with_a_higher_fence() {
    long own = fence;
    fence = Fences.ofFallback(5);
    for (int i = 0; i < 10; i++) {
      report(FIRST, List.of(), List.of());
      now = now.plusMillis(99);
    }

    assertThat(own).isLessThan(fence);
    assertThat(handOvers).isEqualTo(2);
    assertThat(decisions).extracting(Decision::event).contains("higher_fence_seen");
  }

  @Test
  void answers_with_its_term_and_not_with_its_fence() {
    sends.clear();
    request(SubmitJob.of(++lastRequestId, new QueueAddress("h", "/none/1"), job(), LIMIT));

    assertThat(sends)
        .extracting(Send::message)
        .anyMatch(m -> m instanceof LeaderReply r && r.term() == 5);
  }

  /** Guards against a leader that does not wait for agents that a fallback dispatcher holds. */
  @Test
  void keeps_an_agent_that_was_silent_for_less_than_30_s_in_the_ledger() {
    beSilentFor(Duration.ofSeconds(29));
    resubmit(1);

    report(FIRST, List.of(), List.of());

    assertThat(started()).isEmpty();
  }

  @Test
  void removes_an_agent_that_was_silent_for_30_s_from_the_ledger() {
    beSilentFor(Duration.ofSeconds(31));
    resubmit(1);

    report(FIRST, List.of(), List.of());

    assertThat(started()).hasSize(1);
  }

  /** Guards against orders that an agent ignores because it knows their numbers. */
  @Test
  void numbers_the_orders_of_an_agent_that_was_removed_above_those_that_it_has_processed() {
    lastOrdersNumbers.put(SECOND, 40L);
    beSilentFor(Duration.ofSeconds(31));
    report(SECOND, List.of(), List.of());
    report(SECOND, List.of(), List.of());
    resubmit(1);

    assertThat(lastOrdersNumbers.get(SECOND)).isEqualTo(41);
  }

  @Test
  void keeps_a_silent_agent_in_the_ledger_while_a_lost_entry_may_hold_it() {
    NodeId entry = new NodeId("10.0.0.3/entry");
    offer(entry, "a");
    on(new PeerDisconnected(entry));
    beSilentFor(Duration.ofSeconds(31));
    resubmit(1);

    report(FIRST, List.of(), List.of());

    assertThat(started()).isEmpty();
  }

  /** Guards against a leader that counts its own pause as the silence of all agents. */
  @Test
  void removes_no_agent_from_the_ledger_right_after_a_pause() {
    on(new Tick());
    now = now.plusSeconds(40);
    on(new LeaseExtended(5, now.plusSeconds(10)));
    on(new Tick());
    resubmit(1);

    report(FIRST, List.of(), List.of());

    assertThat(started()).isEmpty();
  }

  private void submitNew(int tasks) {
    QueuedJob job = new QueuedJob(NEW, "spec", List.of(step(tasks, 1_000)), false);
    QueueAddress address = new QueueAddress("h", "/q/" + NEW);
    request(SubmitJob.of(++lastRequestId, address, job, Duration.ofSeconds(3)));
  }

  /**
   * Guards against reports from before the request, which name orders that the leader has sent
   * before it removed the worker, and numbered from 1 again.
   */
  @Test
  void lists_from_before_the_request_do_not_count_although_the_worker_was_removed_meanwhile() {
    offer(LOST, "a");
    on(new PeerDisconnected(LOST));
    beSilentFor(Duration.ofSeconds(31));
    resubmit(1);
    report(FIRST, List.of(), List.of());
    lastOrdersNumbers.put(SECOND, 500L);
    report(SECOND, List.of(), List.of());
    lastOrdersNumbers.put(SECOND, 500L);

    report(SECOND, List.of(), List.of());

    assertThat(started()).isEmpty();
  }

  /**
   * Guards against a second run beside one that a fallback dispatcher has started: after a cut of
   * more than 30 s its entry is back before its agents have reported.
   */
  @Test
  void waits_for_an_agent_that_was_cut_off_for_more_than_30_s_when_its_dispatcher_is_back_first() {
    offer(LOST, "a");
    on(new PeerDisconnected(LOST));
    beSilentFor(Duration.ofSeconds(31));
    offer(LOST, "a");
    on(new Tick());
    resubmit(1);
    report(FIRST, List.of(), List.of());
    report(FIRST, List.of(), List.of());
    boolean startedEarly = !started().isEmpty();

    report(SECOND, List.of(new ActiveRun(EARLIER, 10)), List.of());
    report(SECOND, List.of(new ActiveRun(EARLIER, 20)), List.of());

    assertThat(startedEarly).isFalse();
    assertThat(started()).isEmpty();
  }

  /** Lets the second agent be silent while the first one reports. */
  private void beSilentFor(Duration time) {
    on(new LeaseExtended(5, now.plusSeconds(100)));
    for (long i = 0; i < time.toMillis() / 200; i++) {
      now = now.plusMillis(199);
      report(FIRST, List.of(), List.of());
      on(new Tick());
    }
  }
}
