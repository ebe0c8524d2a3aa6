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
 * Task records of the start guard, bounded in number. The last tenth of the capacity is reserved
 * for tasks that will never start, so that refusals can be recorded as well.
 */
public final class GuardedTasks {
  private static final double CAPACITY_FRACTION_FOR_STARTS = 0.9;

  private final Duration retention;
  private final int capacity;
  private final Map<TaskId, GuardedTask> recordById = new HashMap<>();
  private final Queue<Expiry> expiries = new ArrayDeque<>();

  /**
   * Creates an empty set of records.
   *
   * @param retention how long a record is retained after its task ended and after the key of the
   *     job was issued, whichever is later
   * @param capacity maximum number of records
   */
  public GuardedTasks(Duration retention, int capacity) {
    this.retention = retention;
    this.capacity = capacity;
  }

  /** Returns the record of a task, or null if there is none. */
  public @Nullable GuardedTask find(TaskId id) {
    return recordById.get(id);
  }

  /** Returns whether only the capacity reserved for tasks that will never start is left. */
  public boolean isNearlyFull() {
    return recordById.size() >= capacity * CAPACITY_FRACTION_FOR_STARTS;
  }

  /**
   * Returns whether the key of a task's job was issued so long ago that a record of the task may
   * have been removed.
   */
  public boolean isPastRetention(TaskId id, Instant now) {
    return issuedAt(id).isBefore(now.minus(retention));
  }

  /** Returns whether no more records can be added. */
  public boolean isFull() {
    return recordById.size() >= capacity;
  }

  /** Adds the record of a task that has not ended. */
  public void add(GuardedTask t) {
    recordById.put(t.id(), t);
  }

  /** Adds the record of a task that will never start, and starts its retention. */
  public void add(GuardedTask t, Instant now) {
    add(t);
    startRetention(t, now);
  }

  /** Schedules the removal of a record for the end of the retention. */
  public void startRetention(GuardedTask t, Instant now) {
    // A key issued ahead of this clock is accepted for longer, so the retention starts at the time
    // of issue.
    Instant issued = issuedAt(t.id());
    Instant retainedFrom = issued.isAfter(now) ? issued : now;
    expiries.add(new Expiry(t, retainedFrom.plus(retention)));
  }

  /** Removes the records whose retention has passed. */
  public void expire(Instant now) {
    for (Expiry e = expiries.peek(); e != null && !now.isBefore(e.expiresAt); e = expiries.peek()) {
      expiries.remove();
      // The record of a later attempt may have replaced the record that has expired.
      recordById.remove(e.task.id(), e.task);
    }
  }

  private static Instant issuedAt(TaskId id) {
    return id.job().key().issuedAt();
  }

  private record Expiry(GuardedTask task, Instant expiresAt) {}
}
