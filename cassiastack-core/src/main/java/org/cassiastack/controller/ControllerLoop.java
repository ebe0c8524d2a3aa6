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
 *   <li>Any thread may post events. The thread of the loop passes each event to every controller,
 *       in the order of the controllers.
 *   <li>Effects go to the handler, except {@link Raise}: its event is passed to the controllers
 *       within the same turn, before the next posted event.
 *   <li>Between events the thread blocks in its scheduler; it does not busy-wait.
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
  private final LoopListener listener;
  private final AtomicInteger queuedEvents = new AtomicInteger();
  private final Scheduler scheduler;
  private final Scheduler.Worker worker;

  private ControllerLoop(
      String name,
      List<Controller> controllers,
      EffectHandler handler,
      TimeSource time,
      Consumer<Throwable> onError,
      LoopListener listener) {
    this.controllers = List.copyOf(controllers);
    this.handler = handler;
    this.time = time;
    this.onError = onError;
    this.listener = listener;
    this.scheduler = Schedulers.newSingle(name, true);
    this.worker = scheduler.createWorker();
  }

  /**
   * Starts a loop.
   *
   * @param name name of the thread of the loop
   * @param controllers the controllers, in the order in which they see each event
   * @param handler carries out the effects, on the thread of the loop
   * @param time source of the time that is passed to the controllers
   * @param onError receives exceptions that a controller or the handler has thrown
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
   * Starts a loop with a listener.
   *
   * @param name name of the thread of the loop
   * @param controllers the controllers, in the order in which they see each event
   * @param handler carries out the effects, on the thread of the loop
   * @param time source of the time that is passed to the controllers
   * @param onError receives exceptions that a controller or the handler has thrown
   * @param listener is notified of each turn of the loop
   */
  public static ControllerLoop start(
      String name,
      List<Controller> controllers,
      EffectHandler handler,
      TimeSource time,
      Consumer<Throwable> onError,
      LoopListener listener) {
    return new ControllerLoop(name, controllers, handler, time, onError, listener);
  }

  /** Passes an event to the controllers on the thread of the loop. Does not wait for them. */
  public void post(Event event) {
    Instant posted = time.now();
    queuedEvents.incrementAndGet();
    try {
      worker.schedule(
          () -> {
            queuedEvents.decrementAndGet();
            turn(event, posted);
          });
    } catch (RejectedExecutionException ignored) {
      // A closed loop drops the event, as it drops the events that were queued when it was closed.
      queuedEvents.decrementAndGet();
    }
  }

  /** Passes a {@link Tick} to the controllers at a fixed interval until the loop is closed. */
  public void tickEvery(Duration interval) {
    long millis = interval.toMillis();
    worker.schedulePeriodically(this::tick, millis, millis, TimeUnit.MILLISECONDS);
  }

  /** Stops the loop; events that are still queued are dropped. */
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
        handle(c, event, now, events);
      }
    }
    Duration handlingTime = Duration.between(now, time.now());
    listener.onHandled(
        new LoopTurn(first, Duration.between(posted, now), handlingTime, queuedEvents.get()));
  }

  private void handle(Controller controller, Event event, Instant now, Queue<Event> events) {
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
