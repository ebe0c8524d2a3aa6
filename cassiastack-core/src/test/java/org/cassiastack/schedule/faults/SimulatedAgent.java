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
import org.cassiastack.model.Incarnation;

/** An agent beside a minion that may leave calls unanswered. */
final class SimulatedAgent extends SimulatedNode {
  private static final int TIMEOUT_MILLIS = 250;
  private static final int LATEST_MILLIS = 12_000;
  private static final int ANNOUNCE_MILLIS = 500;

  private final FakeMinion minion;

  SimulatedAgent(QueueSimulation world, String name, String domain, double clockRate) {
    super(world, name);
    minion = new FakeMinion(world, "minion-of-" + name, domain, clockRate);
  }

  FakeMinion minion() {
    return minion;
  }

  @Override
  List<Controller> createControllers() {
    announce(incarnation());
    tickMinion(incarnation());
    AgentSettings settings =
        new AgentSettings(
            Incarnation.startedAt(world.now()),
            world.now(),
            QueueSimulation.LEASE,
            Duration.ofMillis(50));
    return List.of(AgentController.create(settings));
  }

  @Override
  void perform(Effect effect) {
    int life = incarnation();
    if (effect instanceof CallStart c) {
      call(
          () -> minion.start(c),
          outcome -> on(new StartAnswered(c.order().run(), outcome), life),
          () -> on(new StartAnswered(c.order().run(), StartAnswered.Outcome.UNANSWERED), life));
    } else if (effect instanceof CallStop c) {
      call(
          () -> {
            minion.stop(c);
            return true;
          },
          taken -> on(new StopAnswered(c.run(), true), life),
          () -> on(new StopAnswered(c.run(), false), life));
    } else if (effect instanceof CallHold c) {
      long wait = minion.hasUnacknowledged() ? 0 : Math.min(60, c.maxWait().toMillis());
      int calledIn = minion.incarnationNumber();
      world.after(
          wait,
          () -> {
            if (minion.incarnationNumber() != calledIn) {
              on(new HoldFailed(c.number()), life);
              return;
            }
            call(
                () -> minion.hold(c),
                answer -> on(answer == null ? new HoldFailed(c.number()) : answer, life),
                () -> on(new HoldFailed(c.number()), life));
          });
    }
  }

  private <T> void call(Call<T> call, Answer<T> answer, Runnable unanswered) {
    int calledIn = minion.incarnationNumber();
    world.after(
        1,
        () -> {
          if (!minion.isUp() || minion.incarnationNumber() != calledIn) {
            world.after(1, unanswered);
          } else if (world.leavesCallUnanswered()) {
            if (world.random().nextBoolean()) {
              lateCall(call);
            }
            world.after(TIMEOUT_MILLIS, unanswered);
          } else {
            T result = call.run();
            world.after(
                1, minion.incarnationNumber() == calledIn ? () -> answer.take(result) : unanswered);
          }
        });
  }

  /** The minion carries the call out later, unless it has died with it. */
  private <T> void lateCall(Call<T> call) {
    int arrivedIn = minion.incarnationNumber();
    world.after(
        world.random().nextInt(LATEST_MILLIS),
        () -> {
          if (minion.incarnationNumber() == arrivedIn) {
            call.run();
          }
        });
  }

  private void announce(int life) {
    world.after(
        ANNOUNCE_MILLIS,
        () -> {
          if (life == incarnation() && isUp()) {
            if (minion.isUp()) {
              on(minion.announce(), life);
            }
            announce(life);
          }
        });
  }

  /** Leases run out whether or not anybody calls. */
  private void tickMinion(int life) {
    world.after(
        5,
        () -> {
          minion.tick();
          if (life == incarnation()) {
            tickMinion(life);
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
