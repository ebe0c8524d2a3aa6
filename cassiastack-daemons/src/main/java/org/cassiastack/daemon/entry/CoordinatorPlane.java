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

/**
 * The coordinator of an entry, the loop that runs the coordinator on a traffic thread, and the
 * client through which callers wait for answers.
 */
final class CoordinatorPlane implements AutoCloseable {
  /** Maximum difference between the clocks of callers and of an entry. */
  private static final Duration MAX_CLOCK_SKEW = Duration.ofSeconds(1);

  private static final Duration TICK = Duration.ofMillis(50);

  private final EffectHandler effectHandler;
  private final TimeSource time;
  private final Instant trackedSince;
  private final ControllerLoop loop;
  private final CoordinatorClient client;

  private CoordinatorPlane(EntrySettings settings, EffectHandler effectHandler, TimeSource time) {
    this.effectHandler = effectHandler;
    this.time = time;
    // Keys contain their time of issue in milliseconds, so a finer time cannot be compared with
    // them.
    trackedSince = time.now().plus(MAX_CLOCK_SKEW).truncatedTo(ChronoUnit.MILLIS);
    JobCoordinator jobs =
        JobCoordinator.create(
            new Epoch(1),
            MinionPickers.avoidingSlow(MinionPickers.earliestFinish()),
            settings.retention(),
            trackedSince);
    loop =
        ControllerLoop.start(
            "coordinator",
            List.of(jobs),
            this::perform,
            time,
            e -> Logger.error(e, "event=controller_failed loop=coordinator"));
    client = new CoordinatorClient(loop::post);
  }

  /**
   * Creates a coordinator.
   *
   * @param effectHandler receives every effect and performs the effects that the coordinator does
   *     not perform itself, such as messages
   */
  static CoordinatorPlane create(
      EntrySettings settings, EffectHandler effectHandler, TimeSource time) {
    return new CoordinatorPlane(settings, effectHandler, time);
  }

  /** Starts to pass ticks to the coordinator. */
  void start() {
    loop.tickEvery(TICK);
  }

  /** Returns the client through which callers use the coordinator. */
  CoordinatorClient client() {
    return client;
  }

  /** Passes an event to the coordinator on the thread of its loop. */
  void post(Event event) {
    loop.post(event);
  }

  /**
   * Waits until newly issued keys are not refused any more. The coordinator refuses keys that were
   * issued so early that an earlier incarnation of this process may have accepted their jobs.
   */
  void awaitTrackingStart() {
    Duration remaining = Duration.between(time.now(), trackedSince);
    if (!remaining.isNegative()) {
      Mono.delay(remaining.plusMillis(1)).block();
    }
  }

  @Override
  public void close() {
    loop.close();
  }

  private void perform(Effect effect) {
    effectHandler.handle(effect);
    if (effect instanceof AnswerCaller a) {
      client.completeAnswer(a);
    } else if (effect instanceof ReportJobState t) {
      client.completeState(t);
    }
  }
}
