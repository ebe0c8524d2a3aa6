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
 * Admits each task to its minion at most once.
 *
 * <ol>
 *   <li>A first dispatch is queued and starts when its minion has a free slot.
 *   <li>The same dispatch again attaches to the running task or repeats what is known of it.
 *   <li>A withdrawn task that has not started becomes a tombstone: the proof that it never will.
 *   <li>Right before each start it asks whether the configuration in force allows it and is fresh
 *       enough; a task that may not start becomes a tombstone, queued ones too.
 *   <li>A task is forgotten only when its key is so old that every further dispatch of it is
 *       refused for its age: the same clock and the same key decide both, so no clocks need to
 *       agree.
 *   <li>While there is little room to remember more, new tasks are refused and the refusal is
 *       remembered; with no room at all there is no answer, since none could be held to.
 * </ol>
 *
 * @since 0.1
 */
public final class StartGuard implements Controller {
  private final Incarnation incarnation;
  private final Map<MinionId, MinionSlots> minions = new HashMap<>();
  private final Map<MinionId, FailureDomain> domains = new HashMap<>();
  private final GuardedTasks tasks;
  private StartsAllowed allowed = StartsAllowed.NONE;
  private boolean leaving;

  private StartGuard(Incarnation incarnation, List<Minion> minions, GuardedTasks tasks) {
    this.incarnation = incarnation;
    minions.forEach(m -> this.minions.put(m.id(), new MinionSlots(m.slots())));
    minions.forEach(m -> domains.put(m.id(), m.failureDomain()));
    this.tasks = tasks;
  }

  /**
   * Makes a guard.
   *
   * @param incarnation the life of the agent's process
   * @param minions the minions that it guards
   * @param retention how long a task is remembered after it ended and after its key was issued
   * @param capacity largest number of tasks that are remembered
   */
  public static StartGuard create(
      Incarnation incarnation, List<Minion> minions, Duration retention, int capacity) {
    return new StartGuard(incarnation, minions, new GuardedTasks(retention, capacity));
  }

  @Override
  public List<Effect> on(Event event, Instant now) {
    List<Effect> effects = new ArrayList<>();
    if (event instanceof Received r && r.message() instanceof Dispatch d) {
      dispatched(r.from(), d, now, effects);
    } else if (event instanceof Received r && r.message() instanceof CancelTasks c) {
      c.tasks().forEach(t -> withdrawn(r.from(), t, c, now, effects));
    } else if (event instanceof TaskStopped s) {
      stopped(s, now, effects);
    } else if (event instanceof StartsAllowed a) {
      allowed = a;
      entombForbidden(now, effects);
    } else if (event instanceof LeaveRequested) {
      leaving = true;
    } else if (event instanceof Tick) {
      tasks.expire(now);
      entombForbidden(now, effects);
      // Told at a tick, not at the last task, so that its report has left before.
      if (leaving && active() == 0) {
        effects.add(new GuardDrained());
      }
    }
    return effects;
  }

  private int active() {
    return minions.values().stream().mapToInt(MinionSlots::active).sum();
  }

  private void dispatched(NodeId from, Dispatch d, Instant now, List<Effect> effects) {
    GuardedTask known = tasks.find(d.task());
    if (known != null && !known.isSupersededBy(d)) {
      known.updateCoordinator(from, d.epoch());
      effects.addAll(known.report());
      return;
    }
    if (tasks.isPastRetention(d.task(), now)) {
      // It may have run here before it was forgotten, so this is no proof that it did not.
      ResultCode reason = ResultCode.KEY_EXPIRED;
      effects.add(new Send(from, new TaskEnded(d.task(), d.epoch(), reason, Payload.EMPTY)));
      return;
    }
    MinionSlots slots = minions.get(d.minion());
    ResultCode refusal = refusalOf(d, slots);
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
    ResultCode forbidden = forbidden(d.minion(), now);
    if (forbidden != null) {
      // A tombstone, since this dispatch may come again once starts are allowed here.
      entomb(t, forbidden, now, effects);
      return;
    }
    slots.enqueue(t);
    startNext(slots, now, effects);
  }

  /** A refusal that holds for this message whenever it comes again, so that it needs no record. */
  private @Nullable ResultCode refusalOf(Dispatch d, @Nullable MinionSlots slots) {
    if (slots == null || !d.agentIncarnation().equals(incarnation)) {
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

  private void withdrawn(
      NodeId from, Withdrawal w, CancelTasks c, Instant now, List<Effect> effects) {
    GuardedTask known = tasks.find(w.task());
    if (known == null) {
      // Whether a forgotten task ran is not known, and with no room nothing can be held to.
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

  private void stopped(TaskStopped s, Instant now, List<Effect> effects) {
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
        entomb(t, refusal, now, effects);
      }
    }
  }

  private @Nullable ResultCode startRefusal(GuardedTask t, Instant now) {
    if (!now.isBefore(t.startDeadline())) {
      return ResultCode.DEADLINE_NOT_RUN;
    }
    return forbidden(t.dispatch().minion(), now);
  }

  private @Nullable ResultCode forbidden(MinionId minion, Instant now) {
    FailureDomain domain = domains.get(minion);
    return domain == null ? ResultCode.NO_MINION : allowed.refusal(domain, now);
  }

  /** Gives back what waits at a minion that may start nothing, so that it can run elsewhere. */
  private void entombForbidden(Instant now, List<Effect> effects) {
    minions.forEach(
        (id, slots) -> {
          ResultCode reason = forbidden(id, now);
          if (reason != null) {
            slots.removeWaiting().forEach(t -> entomb(t, reason, now, effects));
          }
        });
  }

  private void entomb(GuardedTask t, ResultCode reason, Instant now, List<Effect> effects) {
    t.markTombstone(reason);
    tasks.startRetention(t, now);
    effects.addAll(t.report());
  }
}
