package org.cassiastack.guard.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import org.cassiastack.model.TaskId;
import org.jspecify.annotations.Nullable;

/**
 * The tasks that the start guard remembers, bounded in number. The last tenth of the room is kept
 * for tasks that will never start, so that refusals can be held to as well.
 */
public final class GuardedTasks {
  private static final double SHARE_FOR_STARTS = 0.9;

  private final Duration retention;
  private final int capacity;
  private final Map<TaskId, GuardedTask> byId = new HashMap<>();
  private final Queue<Expiry> expiries = new ArrayDeque<>();

  /**
   * Makes an empty memory.
   *
   * @param retention how long a task is remembered after it ended
   * @param capacity largest number of tasks
   */
  public GuardedTasks(Duration retention, int capacity) {
    this.retention = retention;
    this.capacity = capacity;
  }

  /** Returns what is known of a task, or null. */
  public @Nullable GuardedTask find(TaskId id) {
    return byId.get(id);
  }

  /** Tells whether the room that is left is kept for tasks that will never start. */
  public boolean isNearlyFull() {
    return byId.size() >= capacity * SHARE_FOR_STARTS;
  }

  /** Tells whether a task that is not found may have been known once. */
  public boolean isPastRetention(TaskId id, Instant now) {
    return issuedAt(id).isBefore(now.minus(retention));
  }

  /** Tells whether no more tasks can be remembered. */
  public boolean isFull() {
    return byId.size() >= capacity;
  }

  /** Remembers a task that has not ended. */
  public void add(GuardedTask t) {
    byId.put(t.id(), t);
  }

  /** Remembers a task that will never start. */
  public void add(GuardedTask t, Instant now) {
    add(t);
    startRetention(t, now);
  }

  /** Starts the retention of a task. */
  public void startRetention(GuardedTask t, Instant now) {
    // A key issued ahead of this clock is admitted for longer, so it is remembered for longer.
    Instant issued = issuedAt(t.id());
    Instant from = issued.isAfter(now) ? issued : now;
    expiries.add(new Expiry(t, from.plus(retention)));
  }

  /** Forgets the tasks whose retention has passed. */
  public void expire(Instant now) {
    for (Expiry e = expiries.peek(); e != null && !now.isBefore(e.at); e = expiries.peek()) {
      expiries.remove();
      // A later attempt may have taken the place of the one whose time has passed.
      byId.remove(e.task.id(), e.task);
    }
  }

  private static Instant issuedAt(TaskId id) {
    return id.job().key().issuedAt();
  }

  private record Expiry(GuardedTask task, Instant at) {}
}
