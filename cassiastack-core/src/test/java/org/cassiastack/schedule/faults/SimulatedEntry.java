package org.cassiastack.schedule.faults;

import java.util.List;
import org.cassiastack.controller.Controller;
import org.cassiastack.controller.Effect;
import org.cassiastack.decision.Decision;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.request.EntryFallback;
import org.cassiastack.request.LeaderRequestController;
import org.cassiastack.schedule.FallbackController;
import org.cassiastack.schedule.ScheduleSettings;

/** An entry process, which accepts requests of callers. */
final class SimulatedEntry extends SimulatedNode {
  private final FailureDomain domain;

  SimulatedEntry(QueueSimulation simulation, String name, String domain) {
    super(simulation, name);
    this.domain = new FailureDomain(domain);
  }

  @Override
  List<Controller> createControllers() {
    if (!simulation.usesFallback()) {
      return List.of(LeaderRequestController.create());
    }
    ScheduleSettings settings = simulation.scheduleSettings();
    EntryFallback fallback = new EntryFallback(node, domain, true, settings.leaseExpiryTimeout());
    return List.of(
        LeaderRequestController.withFallback(fallback), FallbackController.create(node, settings));
  }

  @Override
  void perform(Effect effect) {
    if (effect instanceof Decision d && d.event().equals("fallback_engaged")) {
      simulation.callers().engaged();
    }
  }

  /** Ends the process; the connections of its callers break. */
  void crash() {
    kill();
    simulation.callers().entryLost(this);
  }

  /**
   * Ends the process without a sign to other processes: they notice after a time-out, its callers
   * at once.
   */
  void losePower() {
    if (!isUp() || isPaused()) {
      return;
    }
    int lost = incarnation();
    pause();
    simulation.callers().entryLost(this);
    simulation.runAfter(
        simulation.network().disconnectMillis(),
        () -> {
          if (incarnation() == lost) {
            kill();
          }
        });
  }

  FailureDomain domain() {
    return domain;
  }
}
