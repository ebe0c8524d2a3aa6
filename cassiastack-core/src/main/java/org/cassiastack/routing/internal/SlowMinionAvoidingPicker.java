package org.cassiastack.routing.internal;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.cassiastack.routing.Candidates;
import org.cassiastack.routing.MinionLoad;
import org.cassiastack.routing.MinionPicker;
import org.jspecify.annotations.Nullable;

/**
 * Excludes a free minion if the faster minions of the service are expected to complete a full
 * window of tasks and all waiting tasks in less time than the free minion takes for one task.
 * Probed minions are never excluded.
 */
public final class SlowMinionAvoidingPicker implements MinionPicker {
  private final MinionPicker delegate;

  /** Creates a picker that lets a delegate choose among the candidates that are not excluded. */
  public SlowMinionAvoidingPicker(MinionPicker delegate) {
    this.delegate = delegate;
  }

  @Override
  public @Nullable MinionLoad pick(Candidates candidates, Instant now) {
    List<MinionLoad> remaining = new ArrayList<>(candidates.free().size());
    for (MinionLoad c : candidates.free()) {
      if (c.isProbed() || !fasterMinionsFinishFirst(c, candidates)) {
        remaining.add(c);
      }
    }
    return delegate.pick(
        new Candidates(remaining, candidates.all(), candidates.waitingTasks()), now);
  }

  private static boolean fasterMinionsFinishFirst(MinionLoad slow, Candidates candidates) {
    double slowSeconds = slow.expectedSeconds();
    double fasterTasksPerSecond = 0;
    double fasterWindows = 0;
    for (MinionLoad m : candidates.all()) {
      if (m.expectedSeconds() < slowSeconds) {
        fasterTasksPerSecond += m.window() / m.expectedSeconds();
        fasterWindows += m.window();
      }
    }
    return fasterTasksPerSecond > 0
        && candidates.waitingTasks() / fasterTasksPerSecond + fasterWindows / fasterTasksPerSecond
            < slowSeconds;
  }
}
