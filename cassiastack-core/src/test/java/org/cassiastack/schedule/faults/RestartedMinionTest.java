package org.cassiastack.schedule.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.cassiastack.agent.CallHold;
import org.cassiastack.agent.CallStart;
import org.cassiastack.controller.Effect;
import org.cassiastack.queue.JobPhase;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.runs.MinionIncarnation;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A minion starts again under its identity and carries out one call that its agent made for the
 * former incarnation. {@link RunChecker} fails when a task starts while it runs or although an end
 * of it was acknowledged.
 */
class RestartedMinionTest {
  /** Time within which a minion is up again and its agent has had an answer of it. */
  private static final int RETURN_MILLIS = 2_000;

  private static final int SETTLE_MILLIS = 12_000;

  private final QueueSimulation simulation = QueueSimulation.create(48);
  private final HeldBackCalls calls = new HeldBackCalls();

  /** Lets the clocks of the first incarnations get far ahead of those of later ones. */
  @BeforeEach
  void run_for_ten_seconds() {
    simulation.runModel().setLateCalls(calls);
    simulation.run(4_000);
    simulation.configure(1);
    simulation.run(6_000);
  }

  @Test
  void a_late_hold_call_does_not_keep_a_run_beyond_the_lease_of_an_agent_that_is_cut_off() {
    SimulatedAgent agent = (SimulatedAgent) simulation.agents().get(0);
    calls.holdBackNext(holdsOf(agent));
    runUntil(() -> calls.count() == 1);
    simulation.crashMinion(agent);
    simulation.run(RETURN_MILLIS);
    simulation.runModel().fixRunTime(2_500);
    QueuedJobId job = simulation.submit(8, false);
    runUntil(() -> agent.minion().isBusy());

    simulation.network().separate(List.of(agent), simulation.members(), 6_000);
    simulation.run(700);
    boolean busyUnderLease = agent.minion().isBusy();
    calls.releaseFirst();
    simulation.run(SETTLE_MILLIS);

    assertThat(busyUnderLease).isTrue();
    assertThat(simulation.phase(job)).isEqualTo(JobPhase.COMPLETED);
    assertThat(simulation.runChecker().startsOf(job)).isGreaterThan(8);
  }

  @Test
  void a_late_acknowledgement_does_not_make_a_restarted_minion_forget_an_end_nobody_has_read() {
    SimulatedAgent agent = (SimulatedAgent) simulation.agents().get(0);
    simulation.submit(16, false);
    simulation.run(1_000);
    calls.holdBackNext(
        call -> holdsOf(agent).test(call) && ((CallHold) call).acknowledgedThrough() > 0);
    runUntil(() -> calls.count() == 1);
    simulation.crashMinion(agent);
    simulation.run(RETURN_MILLIS);
    QueuedJobId job = simulation.submit(16, false);
    runUntil(() -> agent.minion().isBusy());

    runUntil(() -> agent.minion().hasUnacknowledged());
    calls.releaseFirst();
    simulation.run(SETTLE_MILLIS);

    assertThat(simulation.phase(job)).isEqualTo(JobPhase.COMPLETED);
    assertThat(simulation.runChecker().startsOf(job)).isEqualTo(16);
  }

  @Test
  void a_late_start_does_not_run_a_task_again_whose_end_was_acknowledged() {
    calls.holdBackNext(CallStart.class::isInstance);
    QueuedJobId job = simulation.submit(1, false);
    runUntil(() -> anyBusy());
    SimulatedAgent agent = busyAgent();
    simulation.run(2_000);
    simulation.crashMinion(agent);
    simulation.run(RETURN_MILLIS);

    calls.releaseFirst();
    simulation.run(SETTLE_MILLIS);

    assertThat(simulation.phase(job)).isEqualTo(JobPhase.COMPLETED);
    assertThat(simulation.runChecker().startsOf(job)).isEqualTo(1);
  }

  @Test
  void a_task_that_a_late_start_runs_before_the_first_answer_does_not_start_elsewhere_too() {
    simulation.runModel().fixRunTime(2_500);
    calls.holdBackNext(CallStart.class::isInstance);
    QueuedJobId job = simulation.submit(1, false);
    runUntil(() -> anyBusy());
    SimulatedAgent agent = busyAgent();
    simulation.run(200);
    simulation.crashMinion(agent);
    runUntil(() -> agent.minion().isUp());

    calls.releaseFirst();
    boolean startedLate = agent.minion().isBusy();
    simulation.run(SETTLE_MILLIS);

    assertThat(startedLate).isTrue();
    assertThat(simulation.phase(job)).isEqualTo(JobPhase.COMPLETED);
  }

  /** The report of the agent names the new incarnation under the fence of the former leader. */
  @Test
  void a_new_leader_does_not_start_a_task_that_a_late_start_runs_before_the_first_answer() {
    simulation.runModel().fixRunTime(2_500);
    calls.holdBackNext(CallStart.class::isInstance);
    QueuedJobId job = simulation.submit(1, false);
    runUntil(() -> anyBusy());
    SimulatedAgent agent = busyAgent();
    SimulatedMember lost = simulation.leader();
    // The minion is up again just before its next announcement.
    runUntil(() -> simulation.millis() % 500 == 350);
    simulation.crashMinion(agent);
    simulation.losePower(lost);
    MinionIncarnation restarted = agent.minion().incarnation();
    List<Effect> callsToRestarted = new ArrayList<>();
    calls.holdBack(call -> holdsOf(agent).test(call) && addIfTo(restarted, call, callsToRestarted));
    runUntil(() -> simulation.leader() != lost);

    boolean heardOfRestart = !callsToRestarted.isEmpty();
    calls.releaseFirst();
    boolean startedLate = agent.minion().isBusy();
    simulation.run(700);
    calls.holdBackNoMore();
    simulation.run(SETTLE_MILLIS);

    assertThat(heardOfRestart).isTrue();
    assertThat(startedLate).isTrue();
    assertThat(simulation.phase(job)).isEqualTo(JobPhase.COMPLETED);
  }

  /** Guards against the fault of seed 295 of {@link QueueSeeds}. */
  @Test
  void a_start_that_is_called_again_stays_unresolved_until_the_restarted_minion_has_answered() {
    calls.holdBackNext(CallStart.class::isInstance);
    QueuedJobId job = simulation.submit(1, false);
    runUntil(() -> calls.count() == 1);
    SimulatedAgent agent = agentOf(calls.firstMinion());
    agent.pause();
    simulation.crashMinion(agent);
    runUntil(() -> agent.minion().isUp());
    MinionIncarnation restarted = agent.minion().incarnation();
    calls.holdBackNext(
        call -> call instanceof CallHold h && h.minionIncarnation().equals(restarted));

    agent.resume();
    simulation.run(SETTLE_MILLIS);

    assertThat(simulation.phase(job)).isEqualTo(JobPhase.COMPLETED);
    assertThat(calls.count()).isEqualTo(2);
  }

  private SimulatedAgent agentOf(FakeMinion minion) {
    return simulation.agents().stream()
        .map(SimulatedAgent.class::cast)
        .filter(a -> a.minion() == minion)
        .findFirst()
        .orElseThrow();
  }

  private static Predicate<Effect> holdsOf(SimulatedAgent agent) {
    return call ->
        call instanceof CallHold h
            && h.minionIncarnation().id().equals(agent.minion().incarnation().id());
  }

  /** Adds a hold call to a list if it is made to an incarnation; returns true. */
  private static boolean addIfTo(MinionIncarnation to, Effect call, List<Effect> list) {
    if (((CallHold) call).minionIncarnation().equals(to)) {
      list.add(call);
    }
    return true;
  }

  private boolean anyBusy() {
    return simulation.agents().stream().anyMatch(a -> ((SimulatedAgent) a).minion().isBusy());
  }

  private SimulatedAgent busyAgent() {
    return simulation.agents().stream()
        .map(SimulatedAgent.class::cast)
        .filter(a -> a.minion().isBusy())
        .findFirst()
        .orElseThrow();
  }

  private void runUntil(BooleanSupplier condition) {
    long deadline = simulation.millis() + 5_000;
    while (!condition.getAsBoolean() && simulation.millis() < deadline) {
      simulation.run(1);
    }
    assertThat(condition.getAsBoolean()).as(simulation + " awaited state").isTrue();
  }
}
