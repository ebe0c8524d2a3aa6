package org.cassiastack.schedule.internal;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.TreeSet;

/**
 * Steps with waiting tasks that may start, in the order in which they start: by lateness, then by
 * the priority of the queue, then by due time.
 *
 * <p>Under overload, a queue in order of arrival would make every job late. This order lets jobs
 * that can still be on time overtake jobs that are late anyway.
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

  /** Updates a step after some of its tasks have stopped waiting. */
  void tasksRemoved(LiveStep step) {
    if (step.waiting.isEmpty()) {
      remove(step);
    } else if (steps.contains(step)) {
      backlog.update(step);
    }
  }

  /** Returns how often a step was added, or added again with more waiting tasks. */
  long additions() {
    return additions;
  }

  Backlog backlog() {
    return backlog;
  }

  /** Updates the lateness of all steps, and the order of those whose lateness has changed. */
  void updateLateness(Instant now) {
    List<LiveStep> changed = new ArrayList<>();
    for (Iterator<LiveStep> i = steps.iterator(); i.hasNext(); ) {
      LiveStep s = i.next();
      if (s.job.lateness(s, now) != s.lateness) {
        i.remove();
        changed.add(s);
      }
    }
    for (LiveStep s : changed) {
      s.lateness = s.job.lateness(s, now);
      steps.add(s);
      backlog.update(s);
    }
  }

  /** Returns a copy of the first steps in order, at most the given number. */
  List<LiveStep> first(int max) {
    List<LiveStep> first = new ArrayList<>(Math.min(max, steps.size()));
    for (Iterator<LiveStep> i = steps.iterator(); i.hasNext() && first.size() < max; ) {
      first.add(i.next());
    }
    return first;
  }

  /** Returns a live view of all steps in order. */
  Iterable<LiveStep> all() {
    return steps;
  }

  boolean isEmpty() {
    return steps.isEmpty();
  }
}
