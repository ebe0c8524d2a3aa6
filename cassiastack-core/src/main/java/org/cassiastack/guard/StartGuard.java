package org.cassiastack.guard;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cassiastack.configuration.StartsAllowed;
import org.cassiastack.controller.Controller;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Tick;
import org.cassiastack.guard.internal.GuardedTask;
import org.cassiastack.guard.internal.GuardedTasks;
import org.cassiastack.guard.internal.MinionSlots;
import org.cassiastack.membership.LeaveRequested;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.Minion;
import org.cassiastack.model.MinionId;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Payload;
import org.cassiastack.model.ResultCode;
import org.cassiastack.protocol.CancelTasks;
import org.cassiastack.protocol.CancelTasks.Withdrawal;
import org.cassiastack.protocol.Dispatch;
import org.cassiastack.protocol.Message;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.cassiastack.protocol.TaskEnded;
import org.cassiastack.protocol.TaskNotStarted;
import org.jspecify.annotations.Nullable;

/**
 * Ensures that each task starts at its minion at most once.
 *
 * <ol>
 *   <li>A first dispatch is queued and starts when its minion has a free slot. A dispatch to
 *       another incarnation of the agent, and its withdrawal, are not answered.
 *   <li>A repeated dispatch attaches to the queued or running task, or is answered with the
 *       recorded outcome.
 *   <li>A withdrawn task that has not started becomes a tombstone: the record that proves that the
 *       withdrawn attempts never start.
 *   <li>Immediately before each start, the guard checks that the configuration in force is recent
 *       enough and allows the start. A task that is not allowed to start becomes a tombstone, also
 *       while it is queued.
 *   <li>The record of a task is removed only when the key of the task's job is so old that every
 *       further dispatch of the task is refused because of that age. The same clock and the same
 *       key decide both, so no two clocks need to agree.
 *   <li>While little capacity for records is left, new tasks are refused and each refusal is
 *       recorded. Without any capacity a new dispatch is not answered, because a refusal that is
 *       not recorded might not be repeated for a later copy of the dispatch.
 * </ol>
 *
 * @since 0.1
 */
public final class StartGuard implements Controller {
  private final Incarnation incarnation;
  private final Map<MinionId, MinionSlots> minions = new HashMap<>();
  private final Map<MinionId, FailureDomain> domainByMinion = new HashMap<>();
  private final GuardedTasks tasks;
  private StartsAllowed startsAllowed = StartsAllowed.NONE;
  private boolean leaving;

  private StartGuard(Incarnation incarnation, List<Minion> minions, GuardedTasks tasks) {
    this.incarnation = incarnation;
    minions.forEach(m -> this.minions.put(m.id(), new MinionSlots(m.slots())));
    minions.forEach(m -> domainByMinion.put(m.id(), m.failureDomain()));
    this.tasks = tasks;
  }

  /**
   * Creates a guard.
   *
   * @param incarnation the incarnation of the agent's process
   * @param minions the minions whose starts the guard controls
   * @param retention how long the record of a task is retained after the task ended and after the
   *     key of its job was issued, whichever is later
   * @param capacity maximum number of task records
   */
  public static StartGuard create(
      Incarnation incarnation, List<Minion> minions, Duration retention, int capacity) {
    return new StartGuard(incarnation, minions, new GuardedTasks(retention, capacity));
  }

  @Override
  public List<Effect> on(Event event, Instant now) {
    List<Effect> effects = new ArrayList<>();
    if (event instanceof Received r && r.message() instanceof Dispatch d) {
      onDispatch(r.from(), d, now, effects);
    } else if (event instanceof Received r && r.message() instanceof CancelTasks c) {
      c.tasks().forEach(t -> onWithdrawal(r.from(), t, c, now, effects));
    } else if (event instanceof TaskStopped s) {
      onTaskStopped(s, now, effects);
    } else if (event instanceof StartsAllowed a) {
      startsAllowed = a;
      refuseForbiddenTasks(now, effects);
    } else if (event instanceof LeaveRequested) {
      leaving = true;
    } else if (event instanceof Tick) {
      tasks.expire(now);
      refuseForbiddenTasks(now, effects);
      // Reported at a tick and not at the end of the last task, so that the report of that task has
      // already been sent.
      if (leaving && activeTasks() == 0) {
        effects.add(new GuardDrained());
      }
    }
    return effects;
  }

  private int activeTasks() {
    return minions.values().stream().mapToInt(MinionSlots::active).sum();
  }

  private void onDispatch(NodeId from, Dispatch d, Instant now, List<Effect> effects) {
    if (!d.agentIncarnation().equals(incarnation)) {
      // An earlier incarnation may have started the task, so there is no proof that it did not
      // start. The coordinator learns of that incarnation's end from the next announcement.
      return;
    }
    GuardedTask known = tasks.find(d.task());
    if (known != null && !known.isSupersededBy(d)) {
      known.updateCoordinator(from, d.epoch());
      effects.addAll(known.report());
      return;
    }
    if (tasks.isPastRetention(d.task(), now)) {
      // The task may have run here before its record was removed, so the answer must not be a proof
      // that the task did not start.
      ResultCode reason = ResultCode.KEY_EXPIRED;
      effects.add(new Send(from, new TaskEnded(d.task(), d.epoch(), reason, Payload.EMPTY)));
      return;
    }
    MinionSlots slots = minions.get(d.minion());
    ResultCode refusal = unrecordedRefusal(slots);
    if (refusal != null || slots == null) {
      ResultCode reason = refusal == null ? ResultCode.NO_MINION : refusal;
      Message proof = new TaskNotStarted(d.task(), d.epoch(), d.attempt(), reason);
      effects.add(new Send(from, proof));
      return;
    }
    if (known == null && tasks.isFull()) {
      return;
    }
    GuardedTask t = GuardedTask.queued(d, from, now.plus(d.timeout()));
    if (tasks.isNearlyFull()) {
      t.markTombstone(ResultCode.GUARD_FULL);
      tasks.add(t, now);
      effects.addAll(t.report());
      return;
    }
    tasks.add(t);
    ResultCode permissionRefusal = permissionRefusal(d.minion(), now);
    if (permissionRefusal != null) {
      // Recorded as a tombstone, because a copy of this dispatch may arrive after starts are
      // allowed at the minion again.
      refuse(t, permissionRefusal, now, effects);
      return;
    }
    slots.enqueue(t);
    startNext(slots, now, effects);
  }

  /**
   * Returns the reason to refuse a dispatch without recording the refusal, or null. The refusals
   * because of the minion or the leaving agent need no record, because they apply to every later
   * copy of the same dispatch as well. The refusal because of a full queue is not recorded either.
   */
  private @Nullable ResultCode unrecordedRefusal(@Nullable MinionSlots slots) {
    if (slots == null) {
      return ResultCode.NO_MINION;
    }
    if (leaving) {
      return ResultCode.STOPPING;
    }
    if (slots.isQueueFull()) {
      return ResultCode.OVERLOADED;
    }
    return null;
  }

  private void onWithdrawal(
      NodeId from, Withdrawal w, CancelTasks c, Instant now, List<Effect> effects) {
    if (!incarnation.equals(w.agentIncarnation())) {
      return;
    }
    GuardedTask known = tasks.find(w.task());
    if (known == null) {
      // No proof if the key is past its retention, because the task may have run and its record may
      // have been removed, and none at full capacity, because the tombstone could not be recorded.
      if (!tasks.isPastRetention(w.task(), now) && !tasks.isFull()) {
        GuardedTask t = GuardedTask.tombstone(w, from, c.epoch());
        tasks.add(t, now);
        effects.addAll(t.report());
      }
      return;
    }
    known.updateCoordinator(from, c.epoch());
    if (known.isQueued() && known.isCoveredBy(w)) {
      minions.values().forEach(m -> m.remove(known));
      tasks.startRetention(known, now);
      known.markTombstone(ResultCode.CANCELLED_NOT_RUN);
    }
    if (known.isTombstone()) {
      known.extendTombstone(w);
    }
    effects.addAll(known.report());
  }

  private void onTaskStopped(TaskStopped s, Instant now, List<Effect> effects) {
    GuardedTask t = tasks.find(s.task());
    if (t == null || !t.isRunning()) {
      return;
    }
    t.recordOutcome(s.code(), s.output());
    tasks.startRetention(t, now);
    effects.addAll(t.report());
    MinionSlots slots = minions.get(t.dispatch().minion());
    if (slots != null) {
      slots.release();
      startNext(slots, now, effects);
    }
  }

  private void startNext(MinionSlots slots, Instant now, List<Effect> effects) {
    for (GuardedTask t = slots.pollNext(); t != null; t = slots.pollNext()) {
      ResultCode refusal = startRefusal(t, now);
      if (refusal == null) {
        slots.occupy();
        t.markStarted();
        effects.add(new StartTask(t.dispatch()));
      } else {
        refuse(t, refusal, now, effects);
      }
    }
  }

  private @Nullable ResultCode startRefusal(GuardedTask t, Instant now) {
    if (!now.isBefore(t.startDeadline())) {
      return ResultCode.DEADLINE_NOT_RUN;
    }
    return permissionRefusal(t.dispatch().minion(), now);
  }

  private @Nullable ResultCode permissionRefusal(MinionId minion, Instant now) {
    FailureDomain domain = domainByMinion.get(minion);
    return domain == null ? ResultCode.NO_MINION : startsAllowed.refusal(domain, now);
  }

  /**
   * Refuses the tasks queued at minions that may start nothing, so that their coordinators can
   * dispatch them elsewhere.
   */
  private void refuseForbiddenTasks(Instant now, List<Effect> effects) {
    minions.forEach(
        (id, slots) -> {
          ResultCode reason = permissionRefusal(id, now);
          if (reason != null) {
            slots.removeQueued().forEach(t -> refuse(t, reason, now, effects));
          }
        });
  }

  private void refuse(GuardedTask t, ResultCode reason, Instant now, List<Effect> effects) {
    t.markTombstone(reason);
    tasks.startRetention(t, now);
    effects.addAll(t.report());
  }
}
