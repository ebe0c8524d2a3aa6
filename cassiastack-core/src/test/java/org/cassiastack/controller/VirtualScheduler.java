package org.cassiastack.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Virtual time: runs actions in order of their time, those of the same time as they were added. */
public final class VirtualScheduler {
  private final PriorityQueue<Entry> entries =
      new PriorityQueue<>(Comparator.comparing(Entry::at).thenComparing(Entry::serial));
  private Instant now;
  private long serial;

  /** Begins at a time. */
  public VirtualScheduler(Instant start) {
    now = start;
  }

  /** Returns the present time. */
  public Instant now() {
    return now;
  }

  /** Adds an action. */
  public void runAfter(Duration delay, Runnable action) {
    serial++;
    entries.add(new Entry(now.plus(delay), serial, action));
  }

  /** Runs what is due within a time, and lets that time pass. */
  public void runFor(Duration time) {
    Instant end = now.plus(time);
    while (!entries.isEmpty() && !entries.peek().at.isAfter(end)) {
      Entry next = entries.remove();
      now = next.at;
      next.action.run();
    }
    now = end;
  }

  private record Entry(Instant at, long serial, Runnable action) {}
}
