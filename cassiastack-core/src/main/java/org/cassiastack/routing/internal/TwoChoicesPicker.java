package org.cassiastack.routing.internal;

import java.time.Instant;
import java.util.List;
import java.util.random.RandomGenerator;
import org.cassiastack.routing.Candidates;
import org.cassiastack.routing.MinionLoad;
import org.cassiastack.routing.MinionPicker;
import org.jspecify.annotations.Nullable;

/**
 * Draws two different candidates at random and picks the candidate that is expected to finish a
 * task first (Mitzenmacher, The Power of Two Choices in Randomized Load Balancing, 2001).
 */
public final class TwoChoicesPicker implements MinionPicker {
  private final RandomGenerator random;

  /** Creates a picker that draws from the given source of random numbers. */
  public TwoChoicesPicker(RandomGenerator random) {
    this.random = random;
  }

  @Override
  public @Nullable MinionLoad pick(Candidates candidates, Instant now) {
    List<MinionLoad> free = candidates.free();
    if (free.size() < 2) {
      return free.isEmpty() ? null : free.get(0);
    }
    int first = random.nextInt(free.size());
    int second = random.nextInt(free.size() - 1);
    MinionLoad a = free.get(first);
    MinionLoad b = free.get(second < first ? second : second + 1);
    return a.expectedFinishSeconds() <= b.expectedFinishSeconds() ? a : b;
  }
}
