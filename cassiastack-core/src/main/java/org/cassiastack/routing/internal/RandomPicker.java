package org.cassiastack.routing.internal;

import java.time.Instant;
import java.util.List;
import java.util.random.RandomGenerator;
import org.cassiastack.routing.Candidates;
import org.cassiastack.routing.MinionLoad;
import org.cassiastack.routing.MinionPicker;
import org.jspecify.annotations.Nullable;

/** Picks a candidate uniformly at random. */
public final class RandomPicker implements MinionPicker {
  private final RandomGenerator random;

  /** Creates a picker that draws from the given source of random numbers. */
  public RandomPicker(RandomGenerator random) {
    this.random = random;
  }

  @Override
  public @Nullable MinionLoad pick(Candidates candidates, Instant now) {
    List<MinionLoad> free = candidates.free();
    return free.isEmpty() ? null : free.get(random.nextInt(free.size()));
  }
}
