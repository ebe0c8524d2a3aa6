package org.cassiastack.job.faults;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import org.cassiastack.controller.Controller;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Tick;
import org.cassiastack.controller.VirtualScheduler;

/** A process of controllers that crashes, starts again, freezes and thaws. */
final class FakeNode {
  private static final Duration TICK = Duration.ofMillis(100);

  private final VirtualScheduler schedule;
  private final BiConsumer<FakeNode, Effect> effects;
  private final List<Event> waiting = new ArrayList<>();
  private List<Controller> controllers = List.of();
  private int incarnation;
  private boolean frozen;

  FakeNode(VirtualScheduler schedule, BiConsumer<FakeNode, Effect> effects) {
    this.schedule = schedule;
    this.effects = effects;
  }

  void start(List<Controller> fresh) {
    controllers = fresh;
    tick(incarnation);
  }

  void crash() {
    incarnation++;
    controllers = List.of();
    waiting.clear();
    frozen = false;
  }

  boolean isUp() {
    return !controllers.isEmpty();
  }

  int incarnation() {
    return incarnation;
  }

  void pause() {
    frozen = isUp();
  }

  void resume() {
    frozen = false;
    List<Event> late = List.copyOf(waiting);
    waiting.clear();
    late.forEach(this::post);
  }

  void post(Event event) {
    if (frozen) {
      waiting.add(event);
      return;
    }
    for (Controller c : controllers) {
      for (Effect e : c.on(event, schedule.now())) {
        effects.accept(this, e);
      }
    }
  }

  private void tick(int ofLife) {
    if (ofLife != incarnation) {
      return;
    }
    if (!frozen) {
      post(new Tick());
    }
    schedule.runAfter(TICK, () -> tick(ofLife));
  }
}
