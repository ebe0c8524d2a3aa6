package org.cassiastack.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cassiastack.configuration.Configuration;
import org.cassiastack.configuration.ConfigurationChanged;
import org.cassiastack.configuration.FailureDomainSpec;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Tick;
import org.cassiastack.membership.AvailableMinion;
import org.cassiastack.membership.MinionsChanged;
import org.cassiastack.model.Customer;
import org.cassiastack.model.Epoch;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.Job;
import org.cassiastack.model.JobAnswer;
import org.cassiastack.model.JobKey;
import org.cassiastack.model.Minion;
import org.cassiastack.model.MinionId;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Payload;
import org.cassiastack.model.Refusals;
import org.cassiastack.model.ResultCode;
import org.cassiastack.model.Revision;
import org.cassiastack.model.ServiceName;
import org.cassiastack.model.Task;
import org.cassiastack.model.Worker;
import org.cassiastack.protocol.CancelTasks;
import org.cassiastack.protocol.Dispatch;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.cassiastack.protocol.TaskEnded;
import org.cassiastack.protocol.TaskNotStarted;
import org.cassiastack.retry.CountRetry;
import org.cassiastack.retry.RetryReason;
import org.cassiastack.routing.MinionPickers;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class JobCoordinatorTest {
  private static final Instant START = Instant.parse("2026-12-04T08:00:00Z");
  private static final Duration RETENTION = Duration.ofMinutes(10);
  private static final NodeId AGENT = new NodeId("agent-1");
  private static final ServiceName ICE = new ServiceName("ice");
  private static final FailureDomain NORTH = new FailureDomain("north");
  private static final CallerRequestId FIRST_CALLER = new CallerRequestId(1);
  private static final CallerRequestId SECOND_CALLER = new CallerRequestId(2);

  private final JobCoordinator coordinator =
      JobCoordinator.create(new Epoch(1), MinionPickers.leastLoaded(), RETENTION);
  private Instant now = START;

  @BeforeEach
  void one_minion_of_two_slots_is_in_service() {
    FailureDomainSpec inService = new FailureDomainSpec(NORTH, "steppe", true);
    on(
        new ConfigurationChanged(
            new Configuration(new Revision(1), Map.of(), Map.of(NORTH, inService), Map.of())));
    on(minions(new Incarnation(5)));
  }

  @Test
  void answers_in_task_order_when_results_come_out_of_order() {
    List<Dispatch> sent = dispatches(on(new JobSubmitted(FIRST_CALLER, job(2))));

    on(ended(sent.get(1), "second"));
    List<Effect> effects = on(ended(sent.get(0), "first"));

    JobAnswer answer = onlyAnswer(effects);
    assertThat(answer.code()).isEqualTo(ResultCode.COMPLETE);
    assertThat(answer.results())
        .extracting(r -> r.output().toText())
        .containsExactly("first", "second");
  }

  @Test
  void dispatches_no_more_tasks_than_there_are_slots() {
    List<Dispatch> sent = dispatches(on(new JobSubmitted(FIRST_CALLER, job(5))));

    assertThat(sent).hasSize(2);
  }

  @Test
  void attaches_a_caller_that_submits_the_same_job_again() {
    Job job = job(1);
    Dispatch sent = dispatches(on(new JobSubmitted(FIRST_CALLER, job))).get(0);

    List<Effect> again = on(new JobSubmitted(SECOND_CALLER, job));
    List<Effect> effects = on(ended(sent, "done"));

    assertThat(dispatches(again)).isEmpty();
    assertThat(answers(effects))
        .extracting(AnswerCaller::requestId)
        .containsExactly(FIRST_CALLER, SECOND_CALLER);
  }

  @Test
  void gives_the_retained_answer_to_a_caller_that_submits_again() {
    Job job = job(1);
    Dispatch sent = dispatches(on(new JobSubmitted(FIRST_CALLER, job))).get(0);
    on(ended(sent, "done"));

    List<Effect> effects = on(new JobSubmitted(SECOND_CALLER, job));

    assertThat(onlyAnswer(effects).code()).isEqualTo(ResultCode.COMPLETE);
    assertThat(dispatches(effects)).isEmpty();
  }

  @Test
  void gives_the_retained_answer_of_a_job_that_would_be_refused_if_it_were_new() {
    Job job = job(1);
    Dispatch sent = dispatches(on(new JobSubmitted(FIRST_CALLER, job))).get(0);
    on(ended(sent, "done"));

    List<Effect> effects = on(new JobSubmitted(SECOND_CALLER, job, Refusals.unknownService(ICE)));

    assertThat(onlyAnswer(effects).code()).isEqualTo(ResultCode.COMPLETE);
  }

  @Test
  void answers_may_have_run_for_a_job_of_an_earlier_incarnation_that_a_filter_would_refuse() {
    JobCoordinator restarted =
        JobCoordinator.create(
            new Epoch(1), MinionPickers.leastLoaded(), RETENTION, START.plusMillis(1));

    List<Effect> effects =
        restarted.on(new JobSubmitted(FIRST_CALLER, job(1), Refusals.unknownService(ICE)), now);

    assertThat(onlyAnswer(effects).code()).isEqualTo(ResultCode.COORDINATOR_LOST);
  }

  @Test
  void refuses_a_new_job_that_a_filter_has_refused() {
    List<Effect> effects = on(new JobSubmitted(FIRST_CALLER, job(1), Refusals.unknownService(ICE)));

    assertThat(dispatches(effects)).isEmpty();
    assertThat(onlyAnswer(effects).code()).isEqualTo(ResultCode.UNKNOWN_SERVICE);
  }

  @Test
  void refuses_a_key_that_was_used_for_other_content() {
    on(new JobSubmitted(FIRST_CALLER, job(1)));

    List<Effect> effects = on(new JobSubmitted(SECOND_CALLER, job(2)));

    assertThat(onlyAnswer(effects).code()).isEqualTo(ResultCode.KEY_REUSED);
  }

  @Test
  void refuses_a_key_older_than_the_retention_as_may_have_run() {
    Job job = job(1);
    now = START.plus(RETENTION).plusMillis(1);

    List<Effect> effects = on(new JobSubmitted(FIRST_CALLER, job));

    assertThat(onlyAnswer(effects).code()).isEqualTo(ResultCode.KEY_EXPIRED);
  }

  @Test
  void dispatches_a_task_again_after_the_proof_that_it_did_not_start() {
    Dispatch sent = dispatches(on(new JobSubmitted(FIRST_CALLER, job(1)))).get(0);

    on(notStarted(sent));
    now = now.plusSeconds(1);
    List<Dispatch> second = dispatches(on(new Tick()));

    assertThat(second).extracting(Dispatch::task).containsExactly(sent.task());
  }

  @Test
  void ignores_a_second_copy_of_a_proof_after_the_next_attempt() {
    Dispatch first = dispatches(on(new JobSubmitted(FIRST_CALLER, job(1)))).get(0);
    Received proof = notStarted(first);
    on(proof);
    now = now.plusSeconds(1);
    on(new Tick());

    on(proof);
    now = now.plusSeconds(1);
    List<Effect> effects = on(new Tick());

    assertThat(dispatches(effects)).isEmpty();
  }

  @Test
  void refuses_a_key_issued_before_the_coordinator_started_as_may_have_run() {
    Instant trackedSince = START.plusMillis(1);
    JobCoordinator restarted =
        JobCoordinator.create(new Epoch(1), MinionPickers.leastLoaded(), RETENTION, trackedSince);
    Job job = job(1);

    List<Effect> submitted = restarted.on(new JobSubmitted(FIRST_CALLER, job), now);
    List<Effect> cancelled =
        restarted.on(new JobCancelled(SECOND_CALLER, job.customer(), job.key()), now);

    assertThat(onlyAnswer(submitted).code()).isEqualTo(ResultCode.COORDINATOR_LOST);
    assertThat(onlyAnswer(cancelled).code()).isEqualTo(ResultCode.COORDINATOR_LOST);
  }

  @Test
  void refuses_a_key_issued_ahead_of_the_clock_of_the_coordinator() {
    now = START.minusSeconds(2);

    List<Effect> effects = on(new JobSubmitted(FIRST_CALLER, job(1)));

    assertThat(onlyAnswer(effects).code()).isEqualTo(ResultCode.INVALID_KEY);
  }

  @Test
  void does_not_run_a_job_whose_cancellation_arrived_first() {
    Job job = job(1);
    List<Effect> cancelled = on(new JobCancelled(FIRST_CALLER, job.customer(), job.key()));

    List<Effect> submitted = on(new JobSubmitted(SECOND_CALLER, job));

    assertThat(dispatches(submitted)).isEmpty();
    assertThat(onlyAnswer(submitted)).isEqualTo(onlyAnswer(cancelled));
    assertThat(onlyAnswer(submitted).code()).isEqualTo(ResultCode.CANCELLED_NOT_RUN);
  }

  @Test
  void resends_the_withdrawal_of_a_failed_job_and_not_its_dispatch() {
    Job job = job(1);
    on(new JobSubmitted(FIRST_CALLER, job));
    on(new JobCancelled(SECOND_CALLER, job.customer(), job.key()));
    now = now.plusSeconds(3);

    List<Effect> effects = on(new Tick());

    assertThat(dispatches(effects)).isEmpty();
    assertThat(effects)
        .anyMatch(e -> e instanceof Send send && send.message() instanceof CancelTasks);
  }

  @Test
  void fails_a_running_job_when_its_key_expires() {
    on(new JobSubmitted(FIRST_CALLER, jobOf(JobKey.of(START.minus(RETENTION), 3, 3), 1)));
    now = now.plusMillis(1);

    List<Effect> effects = on(new Tick());

    assertThat(onlyAnswer(effects).code()).isEqualTo(ResultCode.DEADLINE_MAY_HAVE_RUN);
  }

  @Test
  void dispatches_a_task_again_as_a_later_attempt_after_every_minion_refused_it() {
    Dispatch first = dispatches(on(new JobSubmitted(FIRST_CALLER, job(1)))).get(0);

    on(notStarted(first));
    now = now.plusSeconds(1);
    List<Dispatch> second = dispatches(on(new Tick()));

    assertThat(second).hasSize(1);
    assertThat(second.get(0).task()).isEqualTo(first.task());
    assertThat(second.get(0).attempt()).isGreaterThan(first.attempt());
  }

  @Test
  void counts_a_retry_as_unanswered_when_it_resends_a_dispatch() {
    on(new JobSubmitted(FIRST_CALLER, job(1)));
    now = now.plusSeconds(2);

    List<Effect> effects = on(new Tick());

    assertThat(dispatches(effects)).hasSize(1);
    assertThat(effects).contains(new CountRetry(RetryReason.UNANSWERED));
  }

  @Test
  void refuses_a_job_that_would_wait_too_long_once_run_times_were_observed() {
    List<Dispatch> sent = dispatches(on(new JobSubmitted(FIRST_CALLER, job(40))));
    for (int i = 0; i < 30; i++) {
      now = now.plusSeconds(1);
      sent = new ArrayList<>(sent);
      sent.addAll(dispatches(on(ended(sent.remove(0), "done"))));
    }

    List<Effect> effects = on(new JobSubmitted(SECOND_CALLER, jobOf(JobKey.of(START, 3, 3), 500)));

    assertThat(onlyAnswer(effects).code()).isEqualTo(ResultCode.OVERLOADED);
  }

  @Test
  void fails_the_job_when_the_agent_of_a_task_is_lost() {
    on(new JobSubmitted(FIRST_CALLER, job(1)));

    List<Effect> effects = on(new MinionsChanged(List.of(), Map.of()));

    assertThat(onlyAnswer(effects).code()).isEqualTo(ResultCode.AGENT_LOST);
  }

  @Test
  void fails_the_job_when_its_agent_restarted_as_another_incarnation() {
    on(new JobSubmitted(FIRST_CALLER, job(1)));

    List<Effect> effects = on(minions(new Incarnation(6)));

    assertThat(onlyAnswer(effects).code()).isEqualTo(ResultCode.AGENT_LOST);
  }

  @Test
  void answers_not_run_when_the_deadline_passes_before_any_task_was_dispatched() {
    on(new JobSubmitted(FIRST_CALLER, job(2)));
    on(new JobSubmitted(SECOND_CALLER, otherJob()));
    now = now.plusSeconds(60);

    List<Effect> effects = on(new Tick());

    assertThat(answers(effects))
        .extracting(a -> a.answer().code())
        .containsExactly(ResultCode.DEADLINE_MAY_HAVE_RUN, ResultCode.DEADLINE_NOT_RUN);
  }

  @Test
  void starts_nothing_in_a_failure_domain_that_is_out_of_service() {
    FailureDomainSpec outOfService = new FailureDomainSpec(NORTH, "steppe", false);
    on(
        new ConfigurationChanged(
            new Configuration(new Revision(2), Map.of(), Map.of(NORTH, outOfService), Map.of())));

    List<Effect> effects = on(new JobSubmitted(FIRST_CALLER, job(1)));

    assertThat(dispatches(effects)).isEmpty();
    assertThat(onlyAnswer(effects).code()).isEqualTo(ResultCode.NO_MINION);
  }

  private List<Effect> on(Event event) {
    return coordinator.on(event, now);
  }

  private static MinionsChanged minions(Incarnation incarnation) {
    Worker worker = new Worker("worker-1", "rack-1", NORTH, 32, 65_536);
    Minion minion = new Minion(new MinionId("minion-1"), ICE, worker, 2, 64);
    return new MinionsChanged(
        List.of(new AvailableMinion(AGENT, incarnation, minion)), Map.of(AGENT, incarnation));
  }

  private static Job job(int tasks) {
    return jobOf(JobKey.of(START, 1, 1), tasks);
  }

  private static Job otherJob() {
    return jobOf(JobKey.of(START, 2, 2), 1);
  }

  private static Job jobOf(JobKey key, int count) {
    List<Task> tasks = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      tasks.add(new Task(i, Payload.ofText("task " + i)));
    }
    return new Job(key, new Customer("ayaz"), ICE, Duration.ofSeconds(60), true, tasks);
  }

  private static Received notStarted(Dispatch d) {
    return new Received(
        AGENT, new TaskNotStarted(d.task(), d.epoch(), d.attempt(), ResultCode.STOPPING));
  }

  private static Received ended(Dispatch d, String output) {
    return new Received(
        AGENT, new TaskEnded(d.task(), d.epoch(), ResultCode.COMPLETE, Payload.ofText(output)));
  }

  private static List<Dispatch> dispatches(List<Effect> effects) {
    List<Dispatch> found = new ArrayList<>();
    for (Effect e : effects) {
      if (e instanceof Send s && s.message() instanceof Dispatch d) {
        found.add(d);
      }
    }
    return found;
  }

  private static List<AnswerCaller> answers(List<Effect> effects) {
    return effects.stream()
        .filter(AnswerCaller.class::isInstance)
        .map(AnswerCaller.class::cast)
        .toList();
  }

  private static JobAnswer onlyAnswer(List<Effect> effects) {
    assertThat(answers(effects)).hasSize(1);
    return answers(effects).get(0).answer();
  }
}
