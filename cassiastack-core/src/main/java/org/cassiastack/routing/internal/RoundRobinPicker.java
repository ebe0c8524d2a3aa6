package org.cassiastack.routing.internal;

import java.time.Instant;
import java.util.List;
import org.cassiastack.routing.Candidates;
import org.cassiastack.routing.MinionLoad;
import org.cassiastack.routing.MinionPicker;
import org.jspecify.annotations.Nullable;

/** Picks each candidate in turn. */
public final class RoundRobinPicker implements MinionPicker {
  private int turn;

  @Override
  public @Nullable MinionLoad pick(Candidates candidates, Instant now) {
    List<MinionLoad> free = candidates.free();
    if (free.isEmpty()) {
      return null;
    }
    turn++;
    return free.get(Math.floorMod(turn, free.size()));
  }
}
