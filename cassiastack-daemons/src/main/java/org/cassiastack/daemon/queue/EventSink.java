package org.cassiastack.daemon.queue;

import org.cassiastack.controller.ControllerLoop;
import org.cassiastack.controller.Event;
import org.jspecify.annotations.Nullable;

/** Takes events for a loop that is made later; what comes before is dropped. */
final class EventSink {
  private volatile @Nullable ControllerLoop loop;

  void connect(ControllerLoop target) {
    loop = target;
  }

  /** Hands an event over without waiting, on any thread. */
  void post(Event event) {
    ControllerLoop target = loop;
    if (target != null) {
      target.post(event);
    }
  }
}
