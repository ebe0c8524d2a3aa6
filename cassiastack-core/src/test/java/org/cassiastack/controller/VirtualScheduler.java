package org.cassiastack.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Runs actions in virtual time, in the order of their due times. Actions that are due at the same
 * time run in the order in which they were added.
 */
public final class VirtualScheduler {
  private final PriorityQueue<Entry> entries =
      new PriorityQueue<>(Comparator.comparing(Entry::dueAt).thenComparing(Entry::sequence));
  private Instant now;
  private long sequence;

  /** Creates a scheduler whose virtual time begins at the given instant. */
  public VirtualScheduler(Instant start) {
    now = start;
  }

  /** Returns the current virtual time. */
  public Instant now() {
    return now;
  }

  /** Adds an action that is due after the given delay of virtual time. */
  public void runAfter(Duration delay, Runnable action) {
    sequence++;
    entries.add(new Entry(now.plus(delay), sequence, action));
  }

  /**
   * Runs the actions that are due within a period, and advances the virtual time by that period.
   */
  public void runFor(Duration period) {
    Instant end = now.plus(period);
    while (!entries.isEmpty() && !entries.peek().dueAt.isAfter(end)) {
      Entry next = entries.remove();
      now = next.dueAt;
      next.action.run();
    }
    now = end;
  }

  private record Entry(Instant dueAt, long sequence, Runnable action) {}
}
