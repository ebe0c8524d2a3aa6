package org.cassiastack.schedule.faults;

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

/** A process in virtual time: its controllers, which may be down or frozen. */
abstract class SimulatedNode {
  private static final int TICK_MILLIS = 20;

  final QueueSimulation world;
  final NodeId node;
  private final List<Event> missed = new ArrayList<>();
  private List<Controller> controllers = List.of();
  private boolean up;
  private boolean frozen;
  private int incarnation;

  SimulatedNode(QueueSimulation world, String name) {
    this.world = world;
    this.node = new NodeId(name);
  }

  /** Makes the controllers of a new life. */
  abstract List<Controller> createControllers();

  /** Carries out an effect that is no message. */
  abstract void perform(Effect effect);

  final void start() {
    if (up) {
      return;
    }
    up = true;
    frozen = false;
    incarnation++;
    missed.clear();
    controllers = createControllers();
    scheduleTick(incarnation);
    world.connected(this);
  }

  final void kill() {
    up = false;
    controllers = List.of();
    world.disconnected(this);
  }

  final boolean isUp() {
    return up;
  }

  final int incarnation() {
    return incarnation;
  }

  final void pause() {
    frozen = true;
  }

  final void resume() {
    frozen = false;
    List<Event> events = List.copyOf(missed);
    missed.clear();
    events.forEach(this::on);
  }

  /** Hands an event to the life that it is meant for. */
  final void on(Event event, int meantLife) {
    if (incarnation == meantLife) {
      on(event);
    }
  }

  final void on(Event first) {
    if (!up) {
      return;
    }
    if (frozen) {
      missed.add(first);
      return;
    }
    Queue<Event> events = new ArrayDeque<>(List.of(first));
    for (Event e = events.poll(); e != null && up; e = events.poll()) {
      for (Controller c : controllers) {
        for (Effect f : c.on(e, world.now())) {
          if (f instanceof Raise r) {
            events.add(r.event());
          } else {
            world.perform(this, f);
          }
        }
      }
    }
  }

  private void scheduleTick(int meantLife) {
    world.after(
        TICK_MILLIS,
        () -> {
          if (incarnation == meantLife && up) {
            if (!frozen) {
              on(new Tick());
            }
            scheduleTick(meantLife);
          }
        });
  }
}
