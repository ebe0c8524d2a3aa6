package org.cassiastack.schedule.faults;

import java.time.Duration;
import java.util.List;
import org.cassiastack.agent.AgentController;
import org.cassiastack.agent.AgentSettings;
import org.cassiastack.agent.CallHold;
import org.cassiastack.agent.CallStart;
import org.cassiastack.agent.CallStop;
import org.cassiastack.agent.HoldFailed;
import org.cassiastack.agent.StartAnswered;
import org.cassiastack.agent.StopAnswered;
import org.cassiastack.controller.Controller;
import org.cassiastack.controller.Effect;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.Incarnation;

/** An agent and its minion. The minion may leave calls of the agent unanswered. */
final class SimulatedAgent extends SimulatedNode {
  private static final int CALL_TIMEOUT_MILLIS = 250;
  private static final int MAX_LATE_CALL_MILLIS = 12_000;
  private static final int ANNOUNCE_INTERVAL_MILLIS = 500;

  private final FakeMinion minion;

  SimulatedAgent(QueueSimulation simulation, String name, String domain, double clockRate) {
    super(simulation, name);
    minion = new FakeMinion(simulation, "minion-of-" + name, domain, clockRate);
  }

  FailureDomain domain() {
    return minion.domain();
  }

  FakeMinion minion() {
    return minion;
  }

  @Override
  List<Controller> createControllers() {
    announcePeriodically(incarnation());
    tickMinionPeriodically(incarnation());
    AgentSettings settings =
        new AgentSettings(
            Incarnation.startedAt(now()),
            now(),
            QueueSimulation.LEASE,
            Duration.ofMillis(50),
            simulation.usesFallback());
    return List.of(AgentController.create(settings));
  }

  @Override
  void perform(Effect effect) {
    int incarnation = incarnation();
    if (effect instanceof CallStart c) {
      call(
          c,
          () -> minion.start(c),
          answer -> on(answer, incarnation),
          () ->
              on(
                  new StartAnswered(c.order().run(), StartAnswered.Outcome.UNANSWERED),
                  incarnation));
    } else if (effect instanceof CallStop c) {
      call(
          c,
          () -> minion.stop(c),
          answer -> on(answer, incarnation),
          () -> on(new StopAnswered(c.run(), false), incarnation));
    } else if (effect instanceof CallHold c) {
      long waitMillis = minion.hasUnacknowledged() ? 0 : Math.min(60, c.maxWait().toMillis());
      int calledIncarnation = minion.incarnationNumber();
      simulation.runAfter(
          waitMillis,
          () -> {
            if (minion.incarnationNumber() != calledIncarnation) {
              takeLate(c, () -> minion.hold(c));
              on(new HoldFailed(c.number()), incarnation);
              return;
            }
            call(
                c,
                () -> minion.hold(c),
                answer -> on(answer, incarnation),
                () -> on(new HoldFailed(c.number()), incarnation));
          });
    }
  }

  private <T> void call(Effect effect, Call<T> call, Answer<T> answer, Runnable unanswered) {
    int calledIncarnation = minion.incarnationNumber();
    simulation.runAfter(
        1,
        () -> {
          if (!minion.isUp() || minion.incarnationNumber() != calledIncarnation) {
            takeLate(effect, call);
            simulation.runAfter(1, unanswered);
          } else if (simulation.runModel().lateCalls().holdsBack(effect)) {
            takeLate(effect, call);
            simulation.runAfter(CALL_TIMEOUT_MILLIS, unanswered);
          } else if (simulation.runModel().leavesCallUnanswered()) {
            if (!takeLate(effect, call) && simulation.random().nextBoolean()) {
              callLater(call);
            }
            simulation.runAfter(CALL_TIMEOUT_MILLIS, unanswered);
          } else {
            T result = call.run();
            minion.recordTimelyCall();
            simulation.runAfter(
                1,
                minion.incarnationNumber() == calledIncarnation
                    ? () -> answer.take(result)
                    : unanswered);
          }
        });
  }

  /** Returns whether a call without an answer may be carried out by a later incarnation. */
  private <T> boolean takeLate(Effect effect, Call<T> call) {
    return simulation.runModel().lateCalls().take(effect, minion, call::run);
  }

  /** Makes the minion perform a call after a random delay, unless the minion restarts first. */
  private <T> void callLater(Call<T> call) {
    int arrivalIncarnation = minion.incarnationNumber();
    simulation.runAfter(
        simulation.random().nextInt(MAX_LATE_CALL_MILLIS),
        () -> {
          if (minion.incarnationNumber() == arrivalIncarnation) {
            call.run();
          }
        });
  }

  private void announcePeriodically(int expectedIncarnation) {
    simulation.runAfter(
        ANNOUNCE_INTERVAL_MILLIS,
        () -> {
          if (expectedIncarnation == incarnation() && isUp()) {
            if (minion.isUp()) {
              on(minion.announce(), expectedIncarnation);
            }
            announcePeriodically(expectedIncarnation);
          }
        });
  }

  /** Lets the minion check its lease at intervals: a lease also expires without calls. */
  private void tickMinionPeriodically(int expectedIncarnation) {
    simulation.runAfter(
        5,
        () -> {
          minion.tick();
          if (expectedIncarnation == incarnation()) {
            tickMinionPeriodically(expectedIncarnation);
          }
        });
  }

  private interface Call<T> {
    T run();
  }

  private interface Answer<T> {
    void take(T result);
  }
}
