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

/**
 * A process with controllers that can crash, restart, pause and resume. A paused process delays its
 * events until it resumes.
 */
final class FakeNode {
  private static final Duration TICK = Duration.ofMillis(100);

  private final VirtualScheduler scheduler;
  private final BiConsumer<FakeNode, Effect> effects;
  private final List<Event> delayed = new ArrayList<>();
  private List<Controller> controllers = List.of();
  private int incarnation;
  private boolean paused;

  FakeNode(VirtualScheduler scheduler, BiConsumer<FakeNode, Effect> effects) {
    this.scheduler = scheduler;
    this.effects = effects;
  }

  void start(List<Controller> newControllers) {
    controllers = newControllers;
    tick(incarnation);
  }

  void crash() {
    incarnation++;
    controllers = List.of();
    delayed.clear();
    paused = false;
  }

  boolean isUp() {
    return !controllers.isEmpty();
  }

  int incarnation() {
    return incarnation;
  }

  void pause() {
    paused = isUp();
  }

  void resume() {
    paused = false;
    List<Event> events = List.copyOf(delayed);
    delayed.clear();
    events.forEach(this::post);
  }

  void post(Event event) {
    if (paused) {
      delayed.add(event);
      return;
    }
    for (Controller c : controllers) {
      for (Effect e : c.on(event, scheduler.now())) {
        effects.accept(this, e);
      }
    }
  }

  private void tick(int ofIncarnation) {
    if (ofIncarnation != incarnation) {
      return;
    }
    if (!paused) {
      post(new Tick());
    }
    scheduler.runAfter(TICK, () -> tick(ofIncarnation));
  }
}
