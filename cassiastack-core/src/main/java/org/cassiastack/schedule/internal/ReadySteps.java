package org.cassiastack.schedule.internal;

import java.util.Comparator;
import java.util.NavigableSet;
import java.util.PriorityQueue;
import org.jspecify.annotations.Nullable;

/**
 * One pass over the ready steps of several demands, in order over all of them. A demand can be left
 * out from the current step on, so that the cost of a pass follows the number of demands and of
 * steps that may start, and not the number of steps that wait.
 *
 * <p>During a pass, steps may be removed from the ready queue, but their order must not change.
 */
final class ReadySteps {
  private final PriorityQueue<Head> heads = new PriorityQueue<>();
  private @Nullable Head current;

  /** Adds the steps of one demand. */
  void add(NavigableSet<LiveStep> steps, Comparator<LiveStep> order) {
    heads.add(new Head(steps, steps.first(), order));
  }

  /** Returns the next step, or null if there is none. */
  @Nullable LiveStep next() {
    if (current != null) {
      LiveStep following = current.steps.higher(current.step);
      if (following != null) {
        heads.add(new Head(current.steps, following, current.order));
      }
    }
    current = heads.poll();
    return current == null ? null : current.step;
  }

  /** Leaves out the remaining steps of the demand of the current step. */
  void skipDemand() {
    current = null;
  }

  /** The next step of one demand. */
  private record Head(NavigableSet<LiveStep> steps, LiveStep step, Comparator<LiveStep> order)
      implements Comparable<Head> {
    @Override
    public int compareTo(Head other) {
      return order.compare(step, other.step);
    }
  }
}
