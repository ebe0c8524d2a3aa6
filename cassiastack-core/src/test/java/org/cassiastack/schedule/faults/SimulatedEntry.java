package org.cassiastack.schedule.faults;

import java.util.List;
import org.cassiastack.controller.Controller;
import org.cassiastack.controller.Effect;
import org.cassiastack.request.LeaderRequestController;

/** An entry process, which accepts requests of callers. */
final class SimulatedEntry extends SimulatedNode {
  SimulatedEntry(QueueSimulation simulation, String name) {
    super(simulation, name);
  }

  @Override
  List<Controller> createControllers() {
    return List.of(LeaderRequestController.create());
  }

  @Override
  void perform(Effect effect) {}
}
