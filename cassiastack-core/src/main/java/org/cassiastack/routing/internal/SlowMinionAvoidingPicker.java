package org.cassiastack.routing.internal;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.cassiastack.routing.Candidates;
import org.cassiastack.routing.MinionLoad;
import org.cassiastack.routing.MinionPicker;
import org.jspecify.annotations.Nullable;

/**
 * Offers a free slot only if it would finish a task before faster minions have worked off all that
 * waits.
 */
public final class SlowMinionAvoidingPicker implements MinionPicker {
  private final MinionPicker inner;

  /** Makes a picker that lets another choose among the candidates that are worth using. */
  public SlowMinionAvoidingPicker(MinionPicker inner) {
    this.inner = inner;
  }

  @Override
  public @Nullable MinionLoad pick(Candidates candidates, Instant now) {
    List<MinionLoad> worthwhile = new ArrayList<>(candidates.free().size());
    for (MinionLoad c : candidates.free()) {
      if (c.isProbed() || !fasterOnesFinishFirst(c, candidates)) {
        worthwhile.add(c);
      }
    }
    return inner.pick(new Candidates(worthwhile, candidates.all(), candidates.waitingTasks()), now);
  }

  private static boolean fasterOnesFinishFirst(MinionLoad slow, Candidates candidates) {
    double own = slow.expectedSeconds();
    double rate = 0;
    double slots = 0;
    for (MinionLoad m : candidates.all()) {
      if (m.expectedSeconds() < own) {
        rate += m.window() / m.expectedSeconds();
        slots += m.window();
      }
    }
    return rate > 0 && candidates.waitingTasks() / rate + slots / rate < own;
  }
}
