package org.cassiastack.propagation.internal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.cassiastack.configuration.Configuration;
import org.cassiastack.configuration.ConfigurationDelta;
import org.cassiastack.model.Revision;

/** The latest deltas of a process, retained for other processes that are a few revisions behind. */
public final class RetainedDeltas {
  private final int capacity;
  private final Deque<ConfigurationDelta> deltas = new ArrayDeque<>();

  /** Creates a store that retains at most {@code capacity} deltas. */
  public RetainedDeltas(int capacity) {
    this.capacity = capacity;
  }

  /** Retains the delta between two configurations that were in force one after the other. */
  public void add(Configuration before, Configuration after) {
    deltas.addLast(ConfigurationDelta.between(before, after));
    if (deltas.size() > capacity) {
      deltas.removeFirst();
    }
  }

  /**
   * Returns the deltas that lead from a revision to a configuration, or a snapshot of that
   * configuration if no retained delta starts at the revision.
   *
   * @param held the revision to start from
   * @param newest the configuration to reach, to which the latest retained delta leads
   */
  public List<ConfigurationDelta> since(Revision held, Configuration newest) {
    List<ConfigurationDelta> chain = new ArrayList<>();
    for (ConfigurationDelta d : deltas) {
      if (!chain.isEmpty() || d.from().equals(held)) {
        chain.add(d);
      }
    }
    return chain.isEmpty() ? List.of(ConfigurationDelta.snapshot(newest)) : chain;
  }
}
