package org.cassiastack.schedule.faults;

import java.util.List;
import org.cassiastack.controller.Controller;
import org.cassiastack.controller.Effect;
import org.cassiastack.request.LeaderRequestController;

/** An entry that callers ask. */
final class SimulatedEntry extends SimulatedNode {
  SimulatedEntry(QueueSimulation world, String name) {
    super(world, name);
  }

  @Override
  List<Controller> createControllers() {
    return List.of(LeaderRequestController.create());
  }

  @Override
  void perform(Effect effect) {}
}
