package org.cassiastack.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.cassiastack.consensus.LeaseExtended;
import org.cassiastack.controller.ClockLeaped;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.PeerConnected;
import org.cassiastack.protocol.PeerDisconnected;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.queue.QueuedTaskId;
import org.cassiastack.request.AwaitedJobs;
import org.cassiastack.request.AwaitedSubmit;
import org.cassiastack.request.CallerProbe;
import org.cassiastack.request.SubmitJob;
import org.cassiastack.runs.ActiveRun;
import org.cassiastack.runs.AgentLease;
import org.cassiastack.runs.RunId;
import org.junit.jupiter.api.Test;

/**
 * Guards against runs that go on when the callers of their jobs may send them to a fallback
 * dispatcher, which would start them a second time.
 */
class LostCallerTest extends LostCallerScenario {
  @Test
  void keeps_a_job_while_its_entry_confirms_that_a_caller_waits() {
    RunId run = submitAndStart();

    for (int i = 0; i < 20; i++) {
      reportFor(Duration.ofMillis(150), lastStartAgent, run, 5 * i, 5 * i + 5);
      confirm(ID);
    }

    assertThat(stops).isEmpty();
  }

  @Test
  void stops_the_runs_of_a_job_712_ms_after_the_last_probe_that_was_answered_for_it() {
    RunId run = submitAndStart();
    reportFor(Duration.ofMillis(630), lastStartAgent, run, 0, 10);
    List<RunId> early = List.copyOf(stops);

    reportFor(Duration.ofMillis(90), lastStartAgent, run, 10, 20);

    assertThat(early).isEmpty();
    assertThat(stops).containsExactly(run);
    assertThat(decisions)
        .anyMatch(d -> d.event().equals("job_given_up") && d.inputs().contains("entry=" + ENTRY));
  }

  /** Guards against the fault of review/8: what connects again is not the process that waited. */
  @Test
  void does_not_keep_a_job_because_its_entry_has_connected_again() {
    RunId run = submitAndStart();
    on(new PeerDisconnected(ENTRY));
    reportFor(Duration.ofMillis(90), lastStartAgent, run, 0, 5);
    on(new PeerConnected(ENTRY));

    reportFor(Duration.ofMillis(690), lastStartAgent, run, 5, 20);

    assertThat(stops).containsExactly(run);
  }

  @Test
  void keeps_the_jobs_of_an_entry_that_has_connected_again_and_confirms_them() {
    RunId run = submitAndStart();
    on(new PeerDisconnected(ENTRY));
    reportFor(Duration.ofMillis(600), lastStartAgent, run, 0, 10);
    on(new PeerConnected(ENTRY));
    confirm(ID);

    reportFor(Duration.ofMillis(600), lastStartAgent, run, 10, 20);

    assertThat(stops).isEmpty();
  }

  /** Guards against answers that lay in a connection while their process ended. */
  @Test
  void counts_a_confirmation_from_the_sending_of_the_probe_and_not_from_its_arrival() {
    RunId run = submitAndStart();
    Instant probed = now;
    reportFor(Duration.ofMillis(600), lastStartAgent, run, 0, 10);
    on(new Received(ENTRY, new AwaitedJobs(probed, List.of(ID))));

    reportFor(Duration.ofMillis(150), lastStartAgent, run, 10, 20);

    assertThat(stops).containsExactly(run);
  }

  @Test
  void takes_no_confirmation_of_an_entry_that_another_one_has_succeeded() {
    RunId run = submitAndStart();
    SubmitJob copy = SubmitJob.of(++lastRequestId, ADDRESS, job(), LONG);
    on(new Received(OTHER_ENTRY, new AwaitedSubmit(copy, now)));
    reportFor(Duration.ofMillis(600), lastStartAgent, run, 0, 10);
    confirm(ID);

    reportFor(Duration.ofMillis(150), lastStartAgent, run, 10, 20);

    assertThat(stops).containsExactly(run);
  }

  @Test
  void starts_no_task_of_a_job_that_was_not_confirmed_for_300_ms() {
    Instant probed = now.minusMillis(290);
    submit(ID, probed);
    QueuedJobId other = new QueuedJobId(0xbbL);
    submit(other, now.minusMillis(310));

    assertThat(started()).extracting(r -> r.task().job()).containsExactly(ID);
  }

  @Test
  void asks_an_entry_at_once_whose_job_is_not_confirmed_and_starts_it_with_the_answer() {
    on(new Received(ENTRY, SubmitJob.of(++lastRequestId, ADDRESS, job(), LONG)));
    List<Send> probes = probesTo(ENTRY);
    boolean startedBefore = !started().isEmpty();

    confirm(ID);

    assertThat(startedBefore).isFalse();
    assertThat(probes).hasSize(1);
    assertThat(started()).hasSize(1);
  }

  /** Guards against a start order that a paused leader sends before it looks at its callers. */
  @Test
  void starts_nothing_after_a_pause_for_a_job_that_waited() {
    now = now.plusMillis(600);
    submit(ID, now);
    boolean startedBefore = !started().isEmpty();
    now = now.plusMillis(800);
    on(new LeaseExtended(5, now.plusSeconds(10)));

    report(FIRST, List.of(), List.of());
    report(SECOND, List.of(), List.of());

    assertThat(startedBefore).isFalse();
    assertThat(started()).isEmpty();
  }

  /**
   * Guards against agents that are cut off, at any time, with a run of a job whose caller is lost:
   * no order reaches them, and only their lease ends the run.
   */
  @Test
  void no_lease_of_an_agent_lasts_until_its_job_may_be_sent_again() {
    submitAndStart();
    RunId run = started().get(0);
    Instant resentAt = now.plus(RESEND_DELAY);
    leases.clear();

    while (now.isBefore(resentAt)) {
      reportFor(STEP, lastStartAgent, run, 10, 10);
      AgentLease last = leaseOfWorker();
      Instant ended =
          last.reportSentAt()
              .plus(ofSlowestClock(last.duration()))
              .plus(SETTINGS.leaseExpiryMargin());
      boolean grants = !last.duration().isZero();

      assertThat(!grants || ended.isBefore(resentAt)).as("lease %s ends %s", last, ended).isTrue();
    }
  }

  /**
   * Guards against agents that are cut off before the time-out of a job whose request was late: its
   * caller gives it up 600 ms before the dispatcher does, without a sign to its entry.
   */
  @Test
  void no_lease_lasts_until_a_job_may_be_sent_again_whose_request_was_600_ms_late() {
    submitAndStart();
    RunId run = started().get(0);
    Instant timeoutAt = now.plus(LONG);
    Instant resentAt = timeoutAt.minusMillis(600).plus(RESEND_DELAY);

    List<AgentLease> granted = new ArrayList<>();
    while (now.isBefore(resentAt)) {
      reportFor(STEP, lastStartAgent, run, 10, 10);
      confirm(ID);
      granted.add(leaseOfWorker());
    }

    assertThat(now).isAfter(timeoutAt);
    assertThat(granted)
        .filteredOn(l -> !l.duration().isZero())
        .allMatch(l -> !endOfRuns(l).isAfter(resentAt));
  }

  @Test
  void a_lease_shortly_before_the_timeout_of_a_caller_is_still_of_use() {
    submitAndStart();
    RunId run = started().get(0);
    Instant timeoutAt = now.plus(LONG);

    List<AgentLease> granted = new ArrayList<>();
    while (now.isBefore(timeoutAt.minus(STEP))) {
      confirm(ID);
      reportFor(STEP, lastStartAgent, run, 10, 10);
      granted.add(leaseOfWorker());
    }

    assertThat(granted).allMatch(l -> l.duration().compareTo(Duration.ofMillis(500)) > 0);
  }

  @Test
  void an_agent_without_runs_gets_leases_that_a_job_of_300_ms_before_may_start_under() {
    leases.clear();

    report(FIRST, List.of(), List.of());

    Duration longest = leases.get(0).duration();
    Duration end = ofSlowestClock(longest).plus(SETTINGS.leaseExpiryMargin());
    assertThat(longest).isGreaterThan(Duration.ofMillis(700));
    assertThat(end.plusMillis(300)).isLessThan(RESEND_DELAY);
  }

  /** Guards against a new leader that keeps runs alive whose callers it knows nothing of. */
  @Test
  void a_new_leader_extends_no_lease_of_an_agent_with_runs_of_unknown_jobs() {
    RunId unknown = new RunId(new QueuedTaskId(ID, 0, 0, 0), 4_511);
    long formerFence = fence;
    lead(6);
    leases.clear();
    long newFence = fence;
    fence = formerFence;
    report(FIRST, List.of(new ActiveRun(unknown, 10)), List.of());
    fence = newFence;
    report(FIRST, List.of(new ActiveRun(unknown, 10)), List.of());
    List<AgentLease> before = List.copyOf(leases);

    submit(ID, now);
    report(FIRST, List.of(new ActiveRun(unknown, 20)), List.of());

    assertThat(before).extracting(AgentLease::duration).containsOnly(Duration.ZERO);
    assertThat(decisions).anyMatch(d -> d.event().equals("lease_withheld"));
    assertThat(leases.get(leases.size() - 1).duration()).isGreaterThan(Duration.ofMillis(700));
  }

  /** Guards against a restarted agent that keeps runs alive before it has listed them. */
  @Test
  void extends_no_lease_of_a_restarted_agent_that_has_listed_no_runs_yet() {
    lead(6);
    leases.clear();

    reportAfterRestart(FIRST, 0);
    reportAfterRestart(FIRST, fence);

    assertThat(leases)
        .extracting(AgentLease::duration)
        .containsExactly(Duration.ZERO, Duration.ZERO);
  }

  @Test
  void a_leap_of_the_clock_gives_no_job_up_but_extends_no_lease_until_the_next_confirmation() {
    RunId run = submitAndStart();
    now = now.plusSeconds(3);
    on(new ClockLeaped(Duration.ofSeconds(3)));
    on(new LeaseExtended(5, now.plusSeconds(10)));
    leases.clear();
    reportFor(STEP, lastStartAgent, run, 10, 10);
    Duration leaped = leaseOfWorker().duration();
    confirm(ID);
    reportFor(STEP, lastStartAgent, run, 10, 10);

    assertThat(stops).isEmpty();
    assertThat(leaped).isZero();
    assertThat(leaseOfWorker().duration()).isGreaterThan(Duration.ofMillis(700));
  }

  @Test
  void a_stored_job_is_kept_without_confirmations() {
    SubmitJob stored =
        SubmitJob.of(++lastRequestId, ADDRESS, job(List.of(step(1, 1_000)), true), LONG);
    request(stored);
    RunId run = started().get(0);

    reportFor(Duration.ofSeconds(2), lastStartAgent, run, 0, 50);

    assertThat(stops).isEmpty();
    assertThat(leaseOfWorker().duration()).isGreaterThan(Duration.ofMillis(700));
  }

  /** Returns the time that passes while a clock that is 2 % slow shows a duration. */
  private static Duration ofSlowestClock(Duration duration) {
    return duration.multipliedBy(100).dividedBy(98);
  }

  /** Returns the latest end of runs under a lease. */
  private static Instant endOfRuns(AgentLease lease) {
    return lease
        .reportSentAt()
        .plus(ofSlowestClock(lease.duration()))
        .plus(SETTINGS.leaseExpiryMargin());
  }

  private List<Send> probesTo(NodeId entry) {
    return sends.stream()
        .filter(s -> s.to().equals(entry) && s.message() instanceof CallerProbe)
        .toList();
  }

  private AgentLease leaseOfWorker() {
    // The agent with the run reports first in each round.
    return leases.get(leases.size() - 2);
  }
}
