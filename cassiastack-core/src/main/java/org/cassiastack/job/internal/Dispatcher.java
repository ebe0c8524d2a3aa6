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

/** Dispatches queued tasks to minions as slots become free. */
public final class Dispatcher {
  private final Epoch epoch;
  private final MinionPicker picker;
  private final DispatchQueue queue;
  private final Assignments assignments;
  private final MinionLoads loads;
  private final CustomerQuotas quotas;

  /**
   * Creates a dispatcher that works on the state of a coordinator.
   *
   * @param epoch epoch that each dispatch carries
   * @param picker chooses the minion of each task
   * @param queue the tasks that wait for a slot
   * @param assignments the tasks that are assigned to agents
   * @param loads the loads of the minions
   * @param quotas limits on the tasks that customers have in flight
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

  /** Dispatches as many queued tasks as free slots and quotas permit at the given time. */
  public void dispatchAll(Instant now, List<Effect> effects) {
    for (ServiceName service : queue.services()) {
      List<MinionLoad> minions = loads.inService(service);
      List<MinionLoad> free = new ArrayList<>(minions);
      free.removeIf(m -> !m.hasFreeSlot(now));
      QueuedTask next = queue.peek(service, this::mayStart, now);
      while (next != null && !free.isEmpty()) {
        List<MinionLoad> candidates = candidatesFor(next, free, minions);
        MinionLoad load =
            picker.pick(new Candidates(candidates, minions, queue.size(service)), now);
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

  private static List<MinionLoad> withoutTombstone(QueuedTask queued, List<MinionLoad> loads) {
    int index = queued.task().index();
    if (!queued.job().hasTombstone(index)) {
      return loads;
    }
    return loads.stream().filter(m -> !queued.job().hasTombstone(index, m.target())).toList();
  }

  /**
   * Returns the free minions that a task may be dispatched to. Minions whose agent holds a
   * tombstone of the task are excluded while the service has other minions, even if those are busy.
   * A tombstone covers only past attempts, so once every minion has one, all free minions are
   * candidates again.
   */
  private static List<MinionLoad> candidatesFor(
      QueuedTask queued, List<MinionLoad> free, List<MinionLoad> minions) {
    return withoutTombstone(queued, minions).isEmpty() ? free : withoutTombstone(queued, free);
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
