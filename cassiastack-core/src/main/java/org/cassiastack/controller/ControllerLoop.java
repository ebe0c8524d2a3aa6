package org.cassiastack.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import reactor.core.Disposable;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/**
 * Runs a set of controllers on one thread.
 *
 * <ol>
 *   <li>Any thread may post events. One turn of the loop takes the events that wait, passes each of
 *       them to every controller, in the order of the controllers, and then lets each controller
 *       end the turn.
 *   <li>Effects go to the handler, except {@link Raise}: its event is passed to the controllers
 *       within the same turn, before the next posted event.
 *   <li>A {@link ClockLeaped} comes before the first event after a leap of the time source.
 *   <li>A {@link Tick} comes when a controller needs one, at most once in a tick interval.
 *   <li>Between turns the thread blocks in its scheduler; it does not busy-wait.
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
  /** Maximum number of events in one turn, which bounds how long effects wait for its end. */
  private static final int MAX_EVENTS_PER_TURN = 64;

  private final List<Controller> controllers;
  private final EffectHandler handler;
  private final TimeSource time;
  private final Consumer<Throwable> onError;
  private final LoopListener listener;
  private final Queue<PostedEvent> posted = new ConcurrentLinkedQueue<>();
  private final AtomicInteger queuedEvents = new AtomicInteger();
  private final Scheduler scheduler;
  private final Scheduler.Worker worker;
  private volatile boolean closed;

  /** Minimum time between two ticks; null until ticks are wanted. */
  private @Nullable Duration tickInterval;

  private Instant lastTickAt = Instant.MIN;
  private Instant nextTickAt = Instant.MAX;
  private @Nullable Disposable scheduledTick;
  private Duration knownLeap;

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
    this.knownLeap = time.totalLeap();
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
    if (closed) {
      return;
    }
    posted.add(new PostedEvent(event, time.now()));
    if (queuedEvents.getAndIncrement() == 0) {
      scheduleTurn();
    }
  }

  /**
   * Passes a {@link Tick} to the controllers whenever one of them needs it, until the loop is
   * closed.
   *
   * @param interval minimum time between two ticks
   */
  public void tickEvery(Duration interval) {
    worker.schedule(
        () -> {
          tickInterval = interval;
          lastTickAt = time.now();
          scheduleTick(lastTickAt);
        });
  }

  /** Stops the loop; events that are still queued are dropped. */
  @Override
  public void close() {
    closed = true;
    worker.dispose();
    scheduler.dispose();
  }

  private void scheduleTurn() {
    try {
      worker.schedule(this::takeTurn);
    } catch (RejectedExecutionException ignored) {
      // A closed loop drops the events that are still queued.
      closed = true;
    }
  }

  private void takeTurn() {
    int count = Math.min(queuedEvents.get(), MAX_EVENTS_PER_TURN);
    List<Event> events = new ArrayList<>(count);
    Instant now = time.now();
    Instant firstPostedAt = now;
    while (events.size() < count) {
      PostedEvent p = posted.remove();
      firstPostedAt = events.isEmpty() ? p.postedAt : firstPostedAt;
      events.add(p.event);
    }
    try {
      handleTurn(events, now, Duration.between(firstPostedAt, now), count);
    } finally {
      if (queuedEvents.addAndGet(-count) > 0) {
        scheduleTurn();
      }
    }
  }

  private void tick() {
    nextTickAt = Instant.MAX;
    Instant now = time.now();
    lastTickAt = now;
    handleTurn(List.of(new Tick()), now, Duration.ZERO, 0);
  }

  private void handleTurn(List<Event> events, Instant now, Duration waitTime, int takenEvents) {
    try {
      Queue<Event> raised = new ArrayDeque<>();
      // The time is read for each event and for the end: the process may be paused in the middle of
      // a turn, and leases may have expired when it goes on.
      Instant at = now;
      for (Event e : events) {
        raiseLeap(raised);
        raised.add(e);
        handleAll(raised, at);
        at = time.now();
      }
      raiseLeap(raised);
      endTurn(raised, at);
      Duration handlingTime = Duration.between(now, time.now());
      int waiting = queuedEvents.get() - takenEvents;
      listener.onHandled(new LoopTurn(events, waitTime, handlingTime, waiting));
    } finally {
      scheduleTick(time.now());
    }
  }

  /** Raises an event if the clock has leaped before the last reading of the time. */
  private void raiseLeap(Queue<Event> raised) {
    Duration leap = time.totalLeap();
    if (leap.compareTo(knownLeap) > 0) {
      raised.add(new ClockLeaped(leap.minus(knownLeap)));
      knownLeap = leap;
    }
  }

  private void handleAll(Queue<Event> events, Instant now) {
    for (Event event = events.poll(); event != null; event = events.poll()) {
      for (Controller c : controllers) {
        handle(c, event, now, events);
      }
    }
  }

  private void endTurn(Queue<Event> raised, Instant now) {
    do {
      handleAll(raised, now);
      for (Controller c : controllers) {
        try {
          perform(c.endTurn(now), raised);
        } catch (RuntimeException | StackOverflowError e) {
          onError.accept(e);
        }
      }
    } while (!raised.isEmpty());
  }

  private void handle(Controller controller, Event event, Instant now, Queue<Event> events) {
    try {
      perform(controller.on(event, now), events);
    } catch (RuntimeException | StackOverflowError e) {
      onError.accept(e);
    }
  }

  private void perform(List<Effect> effects, Queue<Event> events) {
    for (Effect effect : effects) {
      if (effect instanceof Raise raise) {
        events.add(raise.event());
      } else {
        handler.handle(effect);
      }
    }
  }

  /** Schedules the next tick, unless one is scheduled that is early enough. */
  private void scheduleTick(Instant now) {
    Duration interval = tickInterval;
    if (interval == null) {
      return;
    }
    Instant neededAt = Instant.MAX;
    for (Controller c : controllers) {
      Instant at = c.nextTickAt(now);
      neededAt = at.isBefore(neededAt) ? at : neededAt;
    }
    Instant earliest = lastTickAt.plus(interval);
    Instant at = neededAt.isBefore(earliest) ? earliest : neededAt;
    if (!at.isBefore(nextTickAt)) {
      return;
    }
    Disposable former = scheduledTick;
    if (former != null) {
      former.dispose();
    }
    nextTickAt = at;
    long delayNanos = Math.max(0, Duration.between(now, at).toNanos());
    try {
      scheduledTick = worker.schedule(this::tick, delayNanos, TimeUnit.NANOSECONDS);
    } catch (RejectedExecutionException ignored) {
      // A closed loop ticks no more.
      scheduledTick = null;
    }
  }

  private record PostedEvent(Event event, Instant postedAt) {}
}
