package org.cassiastack.routing;

import java.util.random.RandomGenerator;
import org.cassiastack.routing.internal.LeastLoadedPicker;
import org.cassiastack.routing.internal.RandomPicker;
import org.cassiastack.routing.internal.RoundRobinPicker;

/**
 * The pickers that the library brings.
 *
 * @since 0.1
 */
public final class MinionPickers {
  private MinionPickers() {}

  /** Any candidate with the same chance; a baseline. */
  public static MinionPicker random(RandomGenerator random) {
    return new RandomPicker(random);
  }

  /** Each candidate in turn; a baseline. */
  public static MinionPicker roundRobin() {
    return new RoundRobinPicker();
  }

  /** The candidate with the smallest share of its slots in use. */
  public static MinionPicker leastLoaded() {
    return new LeastLoadedPicker();
  }
}
