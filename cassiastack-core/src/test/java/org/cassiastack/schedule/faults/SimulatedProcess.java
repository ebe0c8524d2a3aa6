package org.cassiastack.schedule.faults;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.cassiastack.controller.Controller;
import org.cassiastack.controller.Event;
import org.cassiastack.model.NodeId;

/** A process of a {@link FallbackSimulation}. The events of a frozen process wait. */
final class SimulatedProcess {
  final NodeId id;
  final Controller controller;
  final List<Event> waiting = new ArrayList<>();
  Instant frozenUntil = Instant.MIN;
  boolean isBusy;

  SimulatedProcess(NodeId id, Controller controller) {
    this.id = id;
    this.controller = controller;
  }
}
