package org.cassiastack.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.UUID;
import org.cassiastack.consensus.CommandCommitted;
import org.cassiastack.consensus.LeaderChanged;
import org.cassiastack.consensus.LeaseExtended;
import org.cassiastack.consensus.ProposeCommand;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Raise;
import org.cassiastack.controller.Tick;
import org.cassiastack.desk.AskJob;
import org.cassiastack.desk.DeskAnswer;
import org.cassiastack.desk.DeskCode;
import org.cassiastack.desk.LeaderReply;
import org.cassiastack.desk.LeaderRequest;
import org.cassiastack.desk.QueueAddress;
import org.cassiastack.desk.StoreConfiguration;
import org.cassiastack.desk.SubmitJob;
import org.cassiastack.desk.SwitchDomain;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.MinionId;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Payload;
import org.cassiastack.model.ServiceName;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.cassiastack.queue.JobPhase;
import org.cassiastack.queue.QueueConfiguration;
import org.cassiastack.queue.QueuedJob;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.queue.Resources;
import org.cassiastack.queue.SharedLedgerCodec;
import org.cassiastack.queue.StepSpec;
import org.cassiastack.runs.AgentLease;
import org.cassiastack.runs.AgentReport;
import org.cassiastack.runs.EndedRun;
import org.cassiastack.runs.MinionLife;
import org.cassiastack.runs.MinionProfile;
import org.cassiastack.runs.RunEnd;
import org.cassiastack.runs.RunId;
import org.cassiastack.runs.RunOrders;
import org.cassiastack.runs.RunningRun;
import org.cassiastack.runs.StartOrder;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LeaderControllerTest {
  private static final NodeId SELF = new NodeId("10.0.0.1");
  private static final NodeId ENTRY = new NodeId("10.0.0.1/entry");
  private static final NodeId FIRST = new NodeId("10.0.0.7/agent");
  private static final NodeId SECOND = new NodeId("10.0.0.8/agent");
  private static final ServiceName SERVICE = new ServiceName("ice");
  private static final QueuedJobId ID = new QueuedJobId(0xaaL);
  private static final QueueAddress ADDRESS = new QueueAddress("h", "/q/" + ID);
  private static final ScheduleSettings SETTINGS =
      new ScheduleSettings(Duration.ofSeconds(1), Duration.ofMillis(150), Duration.ofMinutes(2));

  private static final Duration REPORTS = Duration.ofMillis(30);

  private final LeaderController leader =
      LeaderController.create(SELF, SETTINGS, new SharedLedgerCodec(), UUID::randomUUID);
  private final Map<NodeId, List<StartOrder>> starts = new HashMap<>();
  private final List<RunId> stops = new ArrayList<>();
  private final Map<NodeId, Long> orders = new HashMap<>();
  private final List<AgentLease> leases = new ArrayList<>();
  private final List<DeskAnswer> answers = new ArrayList<>();
  private Instant now = Instant.parse("2026-12-04T08:00:00Z");
  private long fence;
  private long index;
  private long call;
  private boolean holdsCommits;
  private NodeId lastStartedAt = SELF;

  @BeforeEach
  void leadsWithOneQueueAndTwoMinions() {
    lead(5);
    ask(new StoreConfiguration(++call, configuration()));
    report(FIRST, List.of(), List.of());
    report(SECOND, List.of(), List.of());
    report(FIRST, List.of(), List.of());
    report(SECOND, List.of(), List.of());
    answers.clear();
  }

  @Test
  void starts_a_job_that_it_has_stored() {
    submit(2, true);

    assertThat(answers).containsExactly(DeskAnswer.of(DeskCode.ACCEPTED));
    assertThat(started()).hasSize(2);
  }

  @Test
  void tries_a_failed_task_again_at_another_minion() {
    submit(1, true);
    NodeId where = starts.containsKey(FIRST) ? FIRST : SECOND;
    RunId run = started().get(0);
    starts.clear();

    report(where, List.of(), List.of(new EndedRun(1, run, RunEnd.FAILED)));

    assertThat(starts).containsOnlyKeys(where.equals(FIRST) ? SECOND : FIRST);
  }

  @Test
  void acknowledges_no_end_of_a_job_that_has_failed_until_the_failure_is_stored() {
    submit(1, true);
    RunId first = started().get(0);
    NodeId where = lastStartedAt;
    NodeId other = where.equals(FIRST) ? SECOND : FIRST;
    report(where, List.of(), List.of(new EndedRun(1, first, RunEnd.FAILED)));
    RunId second = new RunId(first.task(), first.number() + 1);
    RunId late = new RunId(first.task(), first.number() + 2);
    holdsCommits = true;
    report(other, List.of(), List.of(new EndedRun(1, second, RunEnd.FAILED)));
    leases.clear();

    report(where, List.of(), List.of(new EndedRun(2, late, RunEnd.DONE)));

    assertThat(leases).extracting(AgentLease::acknowledgedThrough).containsExactly(1L);
  }

  @Test
  void answers_a_job_that_is_not_kept_when_it_has_ended() {
    submit(1, false);
    List<DeskAnswer> before = List.copyOf(answers);
    NodeId where = starts.containsKey(FIRST) ? FIRST : SECOND;

    report(where, List.of(), List.of(new EndedRun(1, started().get(0), RunEnd.DONE)));

    assertThat(before).isEmpty();
    assertThat(answers).containsExactly(DeskAnswer.phase(DeskCode.ACCEPTED, JobPhase.COMPLETED));
  }

  @Test
  void starts_nothing_in_a_failure_domain_that_is_out() {
    ask(new SwitchDomain(++call, new FailureDomain("a"), true));

    submit(2, true);

    assertThat(started()).isEmpty();
  }

  @Test
  void refuses_a_job_that_no_minion_could_hold() {
    ask(new SubmitJob(++call, ADDRESS, job(List.of(step(1, 9_000)), true), Duration.ofSeconds(1)));

    assertThat(answers).containsExactly(DeskAnswer.of(DeskCode.UNSUPPORTED));
  }

  @Test
  void refuses_at_once_what_could_only_start_when_it_is_of_no_more_use() {
    for (int i = 1; i <= 40; i++) {
      QueuedJob job = new QueuedJob(new QueuedJobId(i), "spec", List.of(step(16, 1_000)), false);
      ask(new SubmitJob(++call, ADDRESS, job, Duration.ofSeconds(9)));
    }

    assertThat(answers).extracting(DeskAnswer::code).contains(DeskCode.OVERLOADED);
    assertThat(answers)
        .filteredOn(a -> a.code() == DeskCode.OVERLOADED)
        .allMatch(a -> a.retryAfter().compareTo(Duration.ofSeconds(1)) >= 0);
  }

  @Test
  void refuses_a_waiting_job_as_soon_as_it_can_only_end_too_late() {
    ask(new SubmitJob(++call, ADDRESS, job(List.of(step(16, 1_000)), true), Duration.ofSeconds(9)));
    QueuedJob waiting = new QueuedJob(new QueuedJobId(7), "spec", List.of(step(2, 1_000)), false);
    ask(new SubmitJob(++call, ADDRESS, waiting, Duration.ofSeconds(9)));
    answers.clear();

    now = now.plusMillis(500);
    on(new Tick());
    List<DeskAnswer> early = List.copyOf(answers);
    now = now.plusMillis(100);
    on(new Tick());

    assertThat(early).isEmpty();
    assertThat(answers).extracting(DeskAnswer::code).containsExactly(DeskCode.OVERLOADED);
  }

  @Test
  void a_new_leader_refuses_no_job_for_a_backlog_while_it_does_not_know_the_workers() {
    lead(6);

    for (int i = 1; i <= 40; i++) {
      QueuedJob job = new QueuedJob(new QueuedJobId(i), "spec", List.of(step(16, 1_000)), false);
      ask(new SubmitJob(++call, ADDRESS, job, Duration.ofSeconds(9)));
    }

    assertThat(answers).extracting(DeskAnswer::code).doesNotContain(DeskCode.OVERLOADED);
  }

  @Test
  void a_new_leader_starts_nothing_until_every_agent_has_reported() {
    lead(6);
    submit(2, true);
    report(FIRST, List.of(), List.of());
    boolean early = !started().isEmpty();

    report(SECOND, List.of(), List.of());

    assertThat(early).isFalse();
    assertThat(started()).hasSize(2);
  }

  @Test
  void a_new_leader_does_not_wait_for_an_agent_whose_lease_had_run_out_before() {
    now = now.plus(SETTINGS.lapse());
    report(FIRST, List.of(), List.of());
    on(new Tick());
    lead(6);
    submit(2, true);

    report(FIRST, List.of(), List.of());

    assertThat(started()).hasSize(2);
  }

  @Test
  void a_new_leader_does_not_wait_for_an_agent_whose_minion_had_left() {
    report(SECOND, List.of(), List.of(), true);
    lead(6);
    submit(2, true);

    report(FIRST, List.of(), List.of());

    assertThat(started()).hasSize(2);
  }

  @Test
  void a_new_leader_waits_for_an_agent_whose_leaving_minion_still_ran_a_task() {
    submit(2, true);
    RunId run = starts.get(SECOND).get(0).run();
    starts.clear();
    report(SECOND, List.of(new RunningRun(run, 10)), List.of(), true);
    lead(6);

    report(FIRST, List.of(), List.of());

    assertThat(started()).isEmpty();
  }

  @Test
  void grants_no_lease_to_an_agent_that_the_ledger_is_about_to_forget() {
    now = now.plus(SETTINGS.lapse());
    report(FIRST, List.of(), List.of());
    holdsCommits = true;
    on(new Tick());
    leases.clear();

    report(SECOND, List.of(), List.of());

    assertThat(leases).isEmpty();
  }

  @Test
  void a_new_leader_takes_over_the_runs_that_it_finds() {
    submit(1, true);
    RunId run = started().get(0);
    NodeId where = starts.containsKey(FIRST) ? FIRST : SECOND;
    starts.clear();
    lead(6);

    report(where, List.of(new RunningRun(run, 50)), List.of());
    report(where.equals(FIRST) ? SECOND : FIRST, List.of(), List.of());
    ask(new AskJob(++call, ADDRESS));

    assertThat(started()).isEmpty();
    assertThat(answers.get(answers.size() - 1).phase()).isEqualTo(JobPhase.RUNNING);
  }

  @Test
  void is_sure_of_nothing_once_its_lease_of_the_log_has_run_out() {
    now = now.plusSeconds(30);

    ask(new AskJob(++call, ADDRESS));

    assertThat(answers).containsExactly(DeskAnswer.of(DeskCode.NOT_LEADER));
  }

  @Test
  void stops_a_run_that_stands_still_and_starts_its_task_at_another_minion() {
    submit(1, true);
    RunId run = started().get(0);
    NodeId where = starts.containsKey(FIRST) ? FIRST : SECOND;
    NodeId other = where.equals(FIRST) ? SECOND : FIRST;
    reportFor(Duration.ofMillis(450), where, run, 0, 0);
    List<RunId> stopped = List.copyOf(stops);
    starts.clear();

    report(where, List.of(), List.of(new EndedRun(1, run, RunEnd.STOPPED)));

    assertThat(stopped).containsOnly(run);
    assertThat(starts).containsOnlyKeys(other);
  }

  @Test
  void leaves_a_slow_run_alone_that_gets_on() {
    submit(1, true);
    RunId run = started().get(0);
    NodeId where = starts.containsKey(FIRST) ? FIRST : SECOND;

    reportFor(Duration.ofMillis(900), where, run, 0, 40);

    assertThat(stops).isEmpty();
  }

  @Test
  void moves_no_task_more_than_twice_that_stands_still_everywhere() {
    submit(1, true);
    for (int i = 1; i <= 5; i++) {
      RunId run = started().get(started().size() - 1);
      NodeId where = lastStartedAt;
      reportFor(Duration.ofMillis(450), where, run, 0, 0);
      if (stops.contains(run)) {
        report(where, List.of(), List.of(new EndedRun(i, run, RunEnd.STOPPED)));
      }
    }

    assertThat(stops.stream().distinct()).hasSize(2);
  }

  @Test
  void is_sure_to_lead_by_a_lease_that_came_before_the_news_of_its_election() {
    on(new LeaderChanged(5, null, false));
    on(new LeaseExtended(6, now.plusSeconds(10)));
    on(new LeaderChanged(6, SELF, true));

    ask(new AskJob(++call, ADDRESS));

    assertThat(answers).containsExactly(DeskAnswer.of(DeskCode.NO_SUCH_JOB));
  }

  private void lead(long term) {
    fence = term;
    on(new LeaderChanged(term - 1, null, false));
    on(new LeaderChanged(term, SELF, true));
    on(new LeaseExtended(term, now.plusSeconds(10)));
    orders.clear();
  }

  private void submit(int tasks, boolean kept) {
    QueuedJob job = job(List.of(step(tasks, 1_000)), kept);
    ask(new SubmitJob(++call, ADDRESS, job, Duration.ofSeconds(1)));
  }

  private static QueuedJob job(List<StepSpec> steps, boolean kept) {
    return new QueuedJob(ID, "spec", steps, kept);
  }

  private static StepSpec step(int tasks, long milliCpu) {
    return StepSpec.plain(tasks, milliCpu, 64, Duration.ofMillis(100));
  }

  private void ask(LeaderRequest request) {
    on(new Received(ENTRY, request));
  }

  private void report(NodeId agent, List<RunningRun> running, List<EndedRun> ended) {
    report(agent, running, ended, false);
  }

  private void report(
      NodeId agent, List<RunningRun> running, List<EndedRun> ended, boolean draining) {
    now = now.plusMillis(1);
    MinionProfile minion =
        new MinionProfile(
            new MinionLife(new MinionId("minion of " + agent), 1),
            SERVICE,
            new FailureDomain("a"),
            new Resources(8_000, 8_000, 0),
            List.of(),
            draining);
    on(
        new Received(
            agent,
            new AgentReport(
                new Incarnation(1),
                now,
                fence,
                minion,
                true,
                true,
                orders.getOrDefault(agent, 0L),
                Duration.ZERO,
                running,
                List.of(),
                ended)));
  }

  /** Reports again and again on a run whose progress grows evenly, and on an idle other minion. */
  private void reportFor(Duration time, NodeId where, RunId run, int from, int to) {
    int rounds = (int) time.dividedBy(REPORTS);
    for (int i = 1; i <= rounds; i++) {
      now = now.plus(REPORTS);
      int percent = from + (to - from) * i / rounds;
      report(where, List.of(new RunningRun(run, percent)), List.of());
      report(where.equals(FIRST) ? SECOND : FIRST, List.of(), List.of());
      on(new Tick());
    }
  }

  private List<RunId> started() {
    return starts.values().stream().flatMap(List::stream).map(StartOrder::run).toList();
  }

  /** Hands an event to the leader, and commits at once what it proposes. */
  private void on(Event first) {
    Queue<Event> events = new ArrayDeque<>(List.of(first));
    for (Event e = events.poll(); e != null; e = events.poll()) {
      for (Effect f : leader.on(e, now)) {
        if (f instanceof Raise r && r.event() instanceof ProposeCommand p && !holdsCommits) {
          events.add(new CommandCommitted(++index, p.proposal(), p.command()));
        } else if (f instanceof Send s && s.message() instanceof RunOrders o) {
          orders.put(s.to(), o.number());
          starts.computeIfAbsent(s.to(), n -> new ArrayList<>()).addAll(o.starts());
          lastStartedAt = o.starts().isEmpty() ? lastStartedAt : s.to();
          stops.addAll(o.stops());
        } else if (f instanceof Send s && s.message() instanceof AgentLease l) {
          leases.add(l);
        } else if (f instanceof Send s && s.message() instanceof LeaderReply r) {
          answers.add(r.answer());
        }
      }
    }
  }

  private static QueueConfiguration configuration() {
    org.cassiastack.queue.Queue q =
        new org.cassiastack.queue.Queue("q", "h", "/q/", SERVICE, 0, 2, 1.6, Duration.ofMillis(60));
    return new QueueConfiguration(1, List.of(q), Payload.ofText("document"));
  }
}
