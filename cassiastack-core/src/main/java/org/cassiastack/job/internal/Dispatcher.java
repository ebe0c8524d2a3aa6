package org.cassiastack.job.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.cassiastack.controller.Effect;
import org.cassiastack.job.internal.Assignments.Assignment;
import org.cassiastack.job.internal.DispatchQueue.QueuedTask;
import org.cassiastack.limit.CustomerQuotas;
import org.cassiastack.model.Customer;
import org.cassiastack.model.Epoch;
import org.cassiastack.model.ServiceName;
import org.cassiastack.model.TaskId;
import org.cassiastack.protocol.Dispatch;
import org.cassiastack.protocol.Send;
import org.cassiastack.routing.Candidates;
import org.cassiastack.routing.MinionLoad;
import org.cassiastack.routing.MinionPicker;

/** Hands waiting tasks to minions as slots free up. */
public final class Dispatcher {
  private final Epoch epoch;
  private final MinionPicker picker;
  private final DispatchQueue queue;
  private final Assignments assignments;
  private final MinionLoads loads;
  private final CustomerQuotas quotas;

  /**
   * Makes a dispatcher over the state of a coordinator.
   *
   * @param epoch generation under which tasks are handed out
   * @param picker chooses minions
   * @param queue the waiting tasks
   * @param assignments the tasks that are with agents
   * @param loads the minions
   * @param quotas what customers may have in flight
   */
  public Dispatcher(
      Epoch epoch,
      MinionPicker picker,
      DispatchQueue queue,
      Assignments assignments,
      MinionLoads loads,
      CustomerQuotas quotas) {
    this.epoch = epoch;
    this.picker = picker;
    this.queue = queue;
    this.assignments = assignments;
    this.loads = loads;
    this.quotas = quotas;
  }

  /** Hands over as many waiting tasks as minions and quotas take now. */
  public void dispatchAll(Instant now, List<Effect> effects) {
    for (ServiceName service : queue.services()) {
      List<MinionLoad> all = loads.inService(service);
      List<MinionLoad> free = new ArrayList<>(all);
      free.removeIf(m -> !m.hasFreeSlot(now));
      QueuedTask next = queue.peek(service, this::mayStart, now);
      while (next != null && !free.isEmpty()) {
        List<MinionLoad> open = preferred(next, free, all);
        MinionLoad load = picker.pick(new Candidates(open, all, queue.size(service)), now);
        if (load == null) {
          break;
        }
        queue.takeFirst(service);
        dispatch(next, load, now, effects);
        if (!load.hasFreeSlot(now)) {
          free.remove(load);
        }
        next = queue.peek(service, this::mayStart, now);
      }
    }
  }

  private static List<MinionLoad> notEntombed(QueuedTask w, List<MinionLoad> loads) {
    int index = w.task().index();
    if (!w.job().hasTombstone(index)) {
      return loads;
    }
    return loads.stream().filter(m -> !w.job().hasTombstone(index, m.target())).toList();
  }

  /**
   * Minions that turned the task down are left out while others remain. A tombstone holds for its
   * attempt, so once every minion has one, all are open again.
   */
  private static List<MinionLoad> preferred(
      QueuedTask w, List<MinionLoad> free, List<MinionLoad> all) {
    return notEntombed(w, all).isEmpty() ? free : notEntombed(w, free);
  }

  private void dispatch(QueuedTask next, MinionLoad load, Instant now, List<Effect> effects) {
    RunningJob j = next.job();
    Dispatch message =
        new Dispatch(
            new TaskId(j.id(), next.task().index()),
            epoch,
            j.nextAttempt(),
            load.target().incarnation(),
            load.target().minion().id(),
            next.task().payload(),
            Duration.between(now, j.deadline()));
    j.taskDispatched();
    assignments.add(Assignment.first(j.id(), load, message, now));
    effects.add(new Send(load.target().agent(), message));
  }

  private boolean mayStart(Customer customer) {
    return quotas.mayStart(customer, assignments.inFlight(customer));
  }
}
