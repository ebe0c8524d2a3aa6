package org.cassiastack.schedule.faults;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.cassiastack.controller.Controller;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Raise;
import org.cassiastack.controller.Tick;
import org.cassiastack.model.NodeId;

/** A process in virtual time with its controllers; the process may be down or paused. */
abstract class SimulatedNode {
  private static final int TICK_MILLIS = 20;

  final QueueSimulation simulation;
  final NodeId node;
  private final List<Event> missedEvents = new ArrayList<>();
  private List<Controller> controllers = List.of();
  private boolean up;
  private boolean paused;
  private int incarnation;
  private int interruptions;
  private Duration clockLag = Duration.ZERO;

  SimulatedNode(QueueSimulation simulation, String name) {
    this.simulation = simulation;
    this.node = new NodeId(name);
  }

  /** Creates the controllers of a new incarnation of the process. */
  abstract List<Controller> createControllers();

  /** Performs an effect that is neither a message nor the answer to a caller. */
  abstract void perform(Effect effect);

  final void start() {
    if (up) {
      return;
    }
    up = true;
    paused = false;
    incarnation++;
    missedEvents.clear();
    controllers = createControllers();
    scheduleTick(incarnation);
    simulation.network().connectToAll(this);
  }

  final void kill() {
    interruptions++;
    simulation.network().hangUp(this);
    up = false;
    controllers = List.of();
    simulation.network().disconnectFromAll(this);
  }

  /** Sets the clock of the machine back while the process is down. */
  final void setClockBack(long millis) {
    clockLag = clockLag.plusMillis(millis);
  }

  /** Returns the time by the clock of the machine. */
  final Instant now() {
    return simulation.now().minus(clockLag);
  }

  final boolean isUp() {
    return up;
  }

  final int incarnation() {
    return incarnation;
  }

  final boolean isPaused() {
    return paused;
  }

  /** Returns how often the process was killed or paused. */
  final int interruptions() {
    return interruptions;
  }

  /** Pauses the process; its peers close the connections if that takes long. */
  final void freeze(long millis) {
    if (!up || paused) {
      return;
    }
    pause();
    int frozenIncarnation = incarnation;
    int disconnectMillis = simulation.network().disconnectMillis();
    if (millis > disconnectMillis) {
      simulation.runAfter(disconnectMillis, () -> simulation.network().disconnectFromAll(this));
    }
    simulation.runAfter(
        millis,
        () -> {
          if (incarnation == frozenIncarnation && up) {
            resume();
            simulation.network().connectToAll(this);
          }
        });
  }

  final void pause() {
    interruptions++;
    paused = true;
  }

  final void resume() {
    paused = false;
    List<Event> events = List.copyOf(missedEvents);
    missedEvents.clear();
    events.forEach(this::on);
  }

  /** Handles an event, unless the process is no longer in the given incarnation. */
  final void on(Event event, int expectedIncarnation) {
    if (incarnation == expectedIncarnation) {
      on(event);
    }
  }

  final void on(Event first) {
    if (!up) {
      return;
    }
    if (paused) {
      missedEvents.add(first);
      return;
    }
    Queue<Event> events = new ArrayDeque<>(List.of(first));
    do {
      for (Event e = events.poll(); e != null && up; e = events.poll()) {
        for (Controller c : controllers) {
          performAll(c.on(e, now()), events);
        }
      }
      for (Controller c : up ? controllers : List.<Controller>of()) {
        performAll(c.endTurn(now()), events);
      }
    } while (!events.isEmpty() && up);
  }

  private void performAll(List<Effect> effects, Queue<Event> events) {
    for (Effect f : effects) {
      if (f instanceof Raise r) {
        events.add(r.event());
      } else {
        simulation.perform(this, f);
      }
    }
  }

  private boolean isTickNeeded() {
    Instant now = now();
    return controllers.stream().anyMatch(c -> !c.nextTickAt(now).isAfter(now));
  }

  private void scheduleTick(int expectedIncarnation) {
    simulation.runAfter(
        TICK_MILLIS,
        () -> {
          if (incarnation == expectedIncarnation && up) {
            if (!paused && isTickNeeded()) {
              on(new Tick());
            }
            scheduleTick(expectedIncarnation);
          }
        });
  }
}
