package org.cassiastack.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/**
 * Runs a set of controllers on one thread.
 *
 * <ol>
 *   <li>Any thread posts events; the thread of the loop hands each to every controller in order.
 *   <li>Effects go to the handler; a {@link Raise} goes back to the controllers in the same turn.
 *   <li>Between events the thread waits in its scheduler; it never spins.
 * </ol>
 *
 * <pre>{@code
 * ControllerLoop loop = ControllerLoop.start("control", controllers, handler, time, onError);
 * loop.post(event);
 * }</pre>
 *
 * @since 0.1
 */
public final class ControllerLoop implements AutoCloseable {
  private final List<Controller> controllers;
  private final EffectHandler handler;
  private final TimeSource time;
  private final Consumer<Throwable> onError;
  private final LoopListener watch;
  private final AtomicInteger waiting = new AtomicInteger();
  private final Scheduler scheduler;
  private final Scheduler.Worker worker;

  private ControllerLoop(
      String name,
      List<Controller> controllers,
      EffectHandler handler,
      TimeSource time,
      Consumer<Throwable> onError,
      LoopListener watch) {
    this.controllers = List.copyOf(controllers);
    this.handler = handler;
    this.time = time;
    this.onError = onError;
    this.watch = watch;
    this.scheduler = Schedulers.newSingle(name, true);
    this.worker = scheduler.createWorker();
  }

  /**
   * Starts a loop.
   *
   * @param name name of its thread
   * @param controllers the controllers, in the order in which they see each event
   * @param handler carries out effects, on the thread of the loop
   * @param time tells the time that controllers are given
   * @param onError is told of exceptions that escaped a controller or the handler
   */
  public static ControllerLoop start(
      String name,
      List<Controller> controllers,
      EffectHandler handler,
      TimeSource time,
      Consumer<Throwable> onError) {
    return start(name, controllers, handler, time, onError, LoopListener.NONE);
  }

  /**
   * Starts a loop that is watched.
   *
   * @param name name of its thread
   * @param controllers the controllers, in the order in which they see each event
   * @param handler carries out effects, on the thread of the loop
   * @param time tells the time that controllers are given
   * @param onError is told of exceptions that escaped a controller or the handler
   * @param watch is told of each event that was handled
   */
  public static ControllerLoop start(
      String name,
      List<Controller> controllers,
      EffectHandler handler,
      TimeSource time,
      Consumer<Throwable> onError,
      LoopListener watch) {
    return new ControllerLoop(name, controllers, handler, time, onError, watch);
  }

  /** Hands an event to the controllers, on the thread of the loop. */
  public void post(Event event) {
    Instant posted = time.now();
    waiting.incrementAndGet();
    try {
      worker.schedule(
          () -> {
            waiting.decrementAndGet();
            turn(event, posted);
          });
    } catch (RejectedExecutionException ignored) {
      // A closed loop drops events, as it does with those that were waiting.
      waiting.decrementAndGet();
    }
  }

  /** Raises {@link Tick} at a fixed interval until the loop is closed. */
  public void tickEvery(Duration interval) {
    long millis = interval.toMillis();
    worker.schedulePeriodically(this::tick, millis, millis, TimeUnit.MILLISECONDS);
  }

  /** Stops the loop; events that are still waiting are dropped. */
  @Override
  public void close() {
    worker.dispose();
    scheduler.dispose();
  }

  private void tick() {
    turn(new Tick(), time.now());
  }

  private void turn(Event first, Instant posted) {
    Queue<Event> events = new ArrayDeque<>();
    events.add(first);
    Instant now = time.now();
    for (Event event = events.poll(); event != null; event = events.poll()) {
      for (Controller c : controllers) {
        runOne(c, event, now, events);
      }
    }
    Duration taken = Duration.between(now, time.now());
    watch.onHandled(new LoopTurn(first, Duration.between(posted, now), taken, waiting.get()));
  }

  private void runOne(Controller controller, Event event, Instant now, Queue<Event> events) {
    try {
      for (Effect effect : controller.on(event, now)) {
        if (effect instanceof Raise raise) {
          events.add(raise.event());
        } else {
          handler.handle(effect);
        }
      }
    } catch (RuntimeException e) {
      onError.accept(e);
    }
  }
}
