package org.cassiastack.schedule.internal;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.TreeSet;

/**
 * Steps with tasks that may start, in the order in which they should: what can still be on time
 * goes first, then the queue's priority, then what is due first.
 *
 * <p>Under overload a queue in order of arrival serves everyone late. Here those that are late
 * anyway make room for those that need not be.
 */
final class ReadyQueue {
  private static final Comparator<LiveStep> ORDER =
      Comparator.comparing((LiveStep s) -> s.lateness)
          .thenComparingInt(s -> s.job.queue.priority())
          .thenComparing(s -> s.job.dueAt)
          .thenComparingLong(s -> s.job.sequence)
          .thenComparingInt(s -> s.number);

  private final TreeSet<LiveStep> steps = new TreeSet<>(ORDER);
  private final Backlog backlog = new Backlog();
  private long additions;

  void add(LiveStep step) {
    if (!step.waiting.isEmpty()) {
      steps.add(step);
      backlog.update(step);
      additions++;
    }
  }

  void remove(LiveStep step) {
    steps.remove(step);
    backlog.remove(step);
  }

  /** Takes note that fewer tasks of a step wait. */
  void tasksRemoved(LiveStep step) {
    if (step.waiting.isEmpty()) {
      remove(step);
    } else if (steps.contains(step)) {
      backlog.update(step);
    }
  }

  /** Returns how often a step has come, or has got more tasks that wait. */
  long additions() {
    return additions;
  }

  Backlog backlog() {
    return backlog;
  }

  /** Moves steps back whose time has run out meanwhile. */
  void updateLateness(Instant now) {
    List<LiveStep> aged = new ArrayList<>();
    for (Iterator<LiveStep> i = steps.iterator(); i.hasNext(); ) {
      LiveStep s = i.next();
      if (s.job.lateness(s, now) != s.lateness) {
        i.remove();
        aged.add(s);
      }
    }
    for (LiveStep s : aged) {
      s.lateness = s.job.lateness(s, now);
      steps.add(s);
      backlog.update(s);
    }
  }

  /** Returns the steps in order; the list does not change with the queue. */
  List<LiveStep> first(int most) {
    List<LiveStep> first = new ArrayList<>(Math.min(most, steps.size()));
    for (Iterator<LiveStep> i = steps.iterator(); i.hasNext() && first.size() < most; ) {
      first.add(i.next());
    }
    return first;
  }

  Iterable<LiveStep> all() {
    return steps;
  }

  boolean isEmpty() {
    return steps.isEmpty();
  }
}
