package org.cassiastack.routing.internal;

import java.time.Instant;
import org.cassiastack.routing.Candidates;
import org.cassiastack.routing.MinionLoad;
import org.cassiastack.routing.MinionPicker;
import org.jspecify.annotations.Nullable;

/**
 * Picks the candidate that is expected to finish a task first; of equal candidates, the first in
 * the list.
 */
public final class EarliestFinishPicker implements MinionPicker {
  @Override
  public @Nullable MinionLoad pick(Candidates candidates, Instant now) {
    MinionLoad best = null;
    for (MinionLoad c : candidates.free()) {
      if (best == null || c.expectedFinishSeconds() < best.expectedFinishSeconds()) {
        best = c;
      }
    }
    return best;
  }
}
