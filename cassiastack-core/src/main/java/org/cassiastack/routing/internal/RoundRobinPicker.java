package org.cassiastack.routing.internal;

import java.time.Instant;
import java.util.List;
import org.cassiastack.routing.Candidates;
import org.cassiastack.routing.MinionLoad;
import org.cassiastack.routing.MinionPicker;
import org.jspecify.annotations.Nullable;

/** Picks the free candidates in turn. */
public final class RoundRobinPicker implements MinionPicker {
  private int position;

  @Override
  public @Nullable MinionLoad pick(Candidates candidates, Instant now) {
    List<MinionLoad> free = candidates.free();
    if (free.isEmpty()) {
      return null;
    }
    position++;
    return free.get(Math.floorMod(position, free.size()));
  }
}
