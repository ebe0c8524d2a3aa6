package org.cassiastack.routing.internal;

import java.time.Instant;
import java.util.List;
import org.cassiastack.routing.MinionLoad;
import org.cassiastack.routing.MinionPicker;
import org.jspecify.annotations.Nullable;

/** Picks each candidate in turn. */
public final class RoundRobinPicker implements MinionPicker {
  private int turn;

  @Override
  public @Nullable MinionLoad pick(List<MinionLoad> candidates, Instant now) {
    if (candidates.isEmpty()) {
      return null;
    }
    turn++;
    return candidates.get(Math.floorMod(turn, candidates.size()));
  }
}
