package org.cassiastack.guard.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import org.cassiastack.model.TaskId;
import org.jspecify.annotations.Nullable;

/** The tasks that the start guard remembers, bounded in number. */
public final class GuardedTasks {
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
    ended(t, now);
  }

  /** Starts the retention of a task. */
  public void ended(GuardedTask t, Instant now) {
    expiries.add(new Expiry(t.id(), now.plus(retention)));
  }

  /** Forgets the tasks whose retention has passed. */
  public void expire(Instant now) {
    for (Expiry e = expiries.peek(); e != null && !now.isBefore(e.at); e = expiries.peek()) {
      expiries.remove();
      byId.remove(e.task);
    }
  }

  private record Expiry(TaskId task, Instant at) {}
}
