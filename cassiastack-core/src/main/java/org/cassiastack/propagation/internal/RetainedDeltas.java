package org.cassiastack.propagation.internal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.cassiastack.configuration.Configuration;
import org.cassiastack.configuration.ConfigurationDelta;
import org.cassiastack.model.Revision;

/** The latest deltas of a process, for others that are a few revisions behind. */
public final class RetainedDeltas {
  private final int capacity;
  private final Deque<ConfigurationDelta> deltas = new ArrayDeque<>();

  /** Makes room for a number of deltas. */
  public RetainedDeltas(int capacity) {
    this.capacity = capacity;
  }

  /** Keeps the delta between two configurations that followed each other here. */
  public void add(Configuration before, Configuration after) {
    deltas.addLast(ConfigurationDelta.between(before, after));
    if (deltas.size() > capacity) {
      deltas.removeFirst();
    }
  }

  /** Returns what leads from a revision to a configuration: deltas, or one snapshot. */
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
