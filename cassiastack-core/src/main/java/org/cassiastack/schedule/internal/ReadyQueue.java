package org.cassiastack.schedule.internal;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.cassiastack.queue.Resources;

/**
 * Steps with waiting tasks that may start, in the order in which they start: by lateness, then by
 * the priority of the queue, then by due time.
 *
 * <p>Under overload, a queue in order of arrival would make every job late. This order lets jobs
 * that can still be on time overtake jobs that are late anyway.
 */
final class ReadyQueue {
  private static final Comparator<LiveStep> ORDER = ReadyQueue::compare;

  private final Map<Demand, NavigableSet<LiveStep>> stepsByDemand = new LinkedHashMap<>();
  private final Backlog backlog = new Backlog();
  private long additions;

  void add(LiveStep step) {
    if (!step.waiting.isEmpty()) {
      insert(step);
      backlog.update(step);
      additions++;
    }
  }

  void remove(LiveStep step) {
    NavigableSet<LiveStep> steps = stepsByDemand.get(step.demand);
    if (steps != null && steps.remove(step) && steps.isEmpty()) {
      stepsByDemand.remove(step.demand);
    }
    backlog.remove(step);
  }

  private void insert(LiveStep step) {
    stepsByDemand.computeIfAbsent(step.demand, d -> new TreeSet<>(ORDER)).add(step);
  }

  /** Updates a step after some of its tasks have stopped waiting. */
  void tasksRemoved(LiveStep step) {
    if (step.waiting.isEmpty()) {
      remove(step);
    } else if (contains(step)) {
      backlog.update(step);
    }
  }

  private boolean contains(LiveStep step) {
    NavigableSet<LiveStep> steps = stepsByDemand.get(step.demand);
    return steps != null && steps.contains(step);
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
    for (NavigableSet<LiveStep> steps : stepsByDemand.values()) {
      updateLateness(steps, now);
    }
  }

  private void updateLateness(Set<LiveStep> steps, Instant now) {
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

  /**
   * Returns a pass over the steps in order.
   *
   * @param mayStart decides from one step of a demand whether the steps of the demand take part
   */
  ReadySteps inOrder(Predicate<LiveStep> mayStart) {
    ReadySteps pass = new ReadySteps();
    for (NavigableSet<LiveStep> steps : stepsByDemand.values()) {
      if (mayStart.test(steps.first())) {
        pass.add(steps, ORDER);
      }
    }
    return pass;
  }

  /** Returns the smaller of the needs of all steps, for each resource. */
  Resources minNeed() {
    Resources min = null;
    for (Demand d : stepsByDemand.keySet()) {
      min = min == null ? d.need() : min.min(d.need());
    }
    return min == null ? Resources.NONE : min;
  }

  /** Returns all steps; the steps of each demand are in order. */
  List<LiveStep> all() {
    return stepsByDemand.values().stream().flatMap(Set::stream).toList();
  }

  boolean isEmpty() {
    return stepsByDemand.isEmpty();
  }

  private static int compare(LiveStep a, LiveStep b) {
    int c = a.lateness.compareTo(b.lateness);
    c = c != 0 ? c : Integer.compare(a.job.queue.priority(), b.job.queue.priority());
    c = c != 0 ? c : a.job.dueAt.compareTo(b.job.dueAt);
    c = c != 0 ? c : Long.compare(a.job.sequence, b.job.sequence);
    return c != 0 ? c : Integer.compare(a.number, b.number);
  }
}
