package org.cassiastack.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.cassiastack.consensus.LeaseExtended;
import org.cassiastack.controller.Tick;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.ServiceName;
import org.cassiastack.queue.QueuedJob;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.queue.StepSpec;
import org.cassiastack.request.AnswerCode;
import org.cassiastack.request.QueueAddress;
import org.cassiastack.request.RequestAnswer;
import org.cassiastack.request.StoreConfiguration;
import org.cassiastack.request.SubmitJob;
import org.cassiastack.request.SwitchDomain;
import org.cassiastack.runs.ActiveRun;
import org.cassiastack.runs.EndedRun;
import org.cassiastack.runs.RunId;
import org.cassiastack.runs.RunOutcome;
import org.junit.jupiter.api.Test;

/**
 * Tests that steps that no worker can take keep no other step from starting, however many they are
 * and whatever keeps them from it.
 */
class HopelessStepsTest extends LeaderScenario {
  private static final int HOPELESS = 200;
  private static final ServiceName OTHER_SERVICE = new ServiceName("other");

  /** Guards against jobs that stay queued behind jobs whose label no minion has. */
  @Test
  void a_step_starts_although_many_earlier_steps_require_a_label_that_no_minion_has() {
    submitWithLastStep(constrained(1_000, "unknown", ""), step(1, 1_000));

    assertThat(startedSteps()).containsExactly(HOPELESS);
  }

  /** Guards against a new leader, which counts the lateness of all jobs from its own start. */
  @Test
  void a_step_starts_at_a_new_leader_although_many_earlier_steps_require_an_unknown_label() {
    submitWithLastStep(constrained(1_000, "unknown", ""), step(1, 1_000));
    starts.clear();
    lead(6);

    report(FIRST, List.of(), List.of());
    report(SECOND, List.of(), List.of());

    assertThat(startedSteps()).containsExactly(HOPELESS);
  }

  @Test
  void a_step_starts_although_many_earlier_steps_wait_for_a_service_without_free_workers() {
    services.put(SECOND, OTHER_SERVICE);
    request(
        new StoreConfiguration(
            ++lastRequestId, configuration(2, queue("q", 2), queue("other", OTHER_SERVICE, 2))));
    report(SECOND, List.of(), List.of());
    submit("other", new QueuedJobId(0xbbL), Collections.nCopies(HOPELESS, step(1, 8_000)));
    starts.clear();

    submit("q", ID, List.of(step(1, 1_000)));

    assertThat(starts.get(FIRST)).hasSize(1);
  }

  @Test
  void a_step_starts_although_many_earlier_steps_wait_for_a_domain_that_is_out_of_service() {
    FailureDomain out = new FailureDomain("b");
    domains.put(SECOND, out);
    labels.put(SECOND, List.of("special"));
    report(SECOND, List.of(), List.of());
    request(new SwitchDomain(++lastRequestId, out, true));

    submitWithLastStep(constrained(1_000, "special", ""), step(1, 1_000));

    assertThat(startedSteps()).containsExactly(HOPELESS);
  }

  @Test
  void a_step_starts_although_many_earlier_steps_need_more_than_any_gap() {
    submit("q", new QueuedJobId(0xbbL), Collections.nCopies(2, step(1, 1_000)));
    starts.clear();

    submitWithLastStep(step(1, 8_000), step(1, 1_000));

    assertThat(startedSteps()).containsExactly(HOPELESS);
  }

  @Test
  void a_step_starts_although_many_earlier_steps_wait_for_the_rack_of_their_data() {
    labels.put(SECOND, List.of("r1"));
    report(SECOND, List.of(), List.of());
    submitWithLastStep(constrained(8_000, "", "r1"), step(1, 1_000));
    RunId remote = starts.get(FIRST).get(0).run();
    RunId local = starts.get(SECOND).get(0).run();
    starts.clear();
    now = now.plusMillis(400);
    on(new LeaseExtended(fence, now.plusSeconds(10)));
    report(SECOND, List.of(new ActiveRun(local, 40)), List.of());

    report(FIRST, List.of(), List.of(new EndedRun(1, remote, RunOutcome.DONE)));

    assertThat(startedSteps()).containsExactly(HOPELESS);
  }

  /** Guards against refusals for a backlog that takes no capacity. */
  @Test
  void a_job_is_not_refused_for_the_backlog_of_steps_that_no_worker_can_take() {
    submitWithLastStep(constrained(8_000, "unknown", ""), step(1, 1_000));
    answers.clear();

    submit("q", new QueuedJobId(0xccL), List.of(step(1, 1_000)));

    assertThat(answers).containsExactly(RequestAnswer.of(AnswerCode.ACCEPTED));
  }

  /** Submits one job, whose last step follows many others in the order of starting. */
  private void submitWithLastStep(StepSpec hopeless, StepSpec last) {
    List<StepSpec> steps = new ArrayList<>(Collections.nCopies(HOPELESS, hopeless));
    steps.add(last);
    submit("q", ID, steps);
  }

  private void submit(String queue, QueuedJobId id, List<StepSpec> steps) {
    QueueAddress address = new QueueAddress("h", "/" + queue + "/" + id);
    QueuedJob job = new QueuedJob(id, "spec", steps, true);
    request(SubmitJob.of(++lastRequestId, address, job, Duration.ofSeconds(1)));
    on(new Tick());
  }

  private static StepSpec constrained(long milliCpu, String label, String rack) {
    return new StepSpec(1, milliCpu, 64, 0, Duration.ofSeconds(1), List.of(), label, rack, 0);
  }

  private List<Integer> startedSteps() {
    return started().stream().map(r -> r.task().step()).toList();
  }
}
