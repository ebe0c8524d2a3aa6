package org.cassiastack.daemon.entry;

import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.List;
import org.cassiastack.controller.ControllerLoop;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.EffectHandler;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.TimeSource;
import org.cassiastack.daemon.settings.EntrySettings;
import org.cassiastack.job.AnswerCaller;
import org.cassiastack.job.JobCoordinator;
import org.cassiastack.job.ReportJobState;
import org.cassiastack.model.Epoch;
import org.cassiastack.routing.MinionPickers;
import org.tinylog.Logger;
import reactor.core.publisher.Mono;

/** The coordinator of an entry: its loop, which is a traffic thread, and the callers who wait. */
final class CoordinatorPlane implements AutoCloseable {
  /** Bound on the difference between the clocks of callers and of an entry. */
  private static final Duration CLOCK_SKEW = Duration.ofSeconds(1);

  private static final Duration TICK = Duration.ofMillis(50);

  private final EffectHandler others;
  private final TimeSource time;
  private final Instant birth;
  private final ControllerLoop loop;
  private final CoordinatorClient client;

  private CoordinatorPlane(EntrySettings settings, EffectHandler others, TimeSource time) {
    this.others = others;
    this.time = time;
    // Keys are exact to the millisecond, so birth is no finer.
    birth = time.now().plus(CLOCK_SKEW).truncatedTo(ChronoUnit.MILLIS);
    JobCoordinator jobs =
        JobCoordinator.create(
            new Epoch(1),
            MinionPickers.avoidingSlow(MinionPickers.earliestFinish()),
            settings.retention(),
            birth);
    loop =
        ControllerLoop.start(
            "coordinator",
            List.of(jobs),
            this::carryOut,
            time,
            e -> Logger.error(e, "event=controller_failed loop=coordinator"));
    client = new CoordinatorClient(loop::post);
  }

  /**
   * Makes a coordinator.
   *
   * @param others sees every effect and carries out those that do not end here, such as messages
   */
  static CoordinatorPlane create(EntrySettings settings, EffectHandler others, TimeSource time) {
    return new CoordinatorPlane(settings, others, time);
  }

  /** Starts to raise ticks. */
  void start() {
    loop.tickEvery(TICK);
  }

  /** Returns the desk that joins callers with the coordinator. */
  CoordinatorClient client() {
    return client;
  }

  /** Hands an event to the coordinator, on its own thread. */
  void post(Event event) {
    loop.post(event);
  }

  /**
   * Waits until keys that are issued now are newer than those that an earlier life may have taken,
   * which would be refused.
   */
  void awaitTrackingStart() {
    Duration left = Duration.between(time.now(), birth);
    if (!left.isNegative()) {
      Mono.delay(left.plusMillis(1)).block();
    }
  }

  @Override
  public void close() {
    loop.close();
  }

  private void carryOut(Effect effect) {
    others.handle(effect);
    if (effect instanceof AnswerCaller a) {
      client.completeAnswer(a);
    } else if (effect instanceof ReportJobState t) {
      client.completeState(t);
    }
  }
}
