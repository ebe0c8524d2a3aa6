package org.cassiastack.routing;

import java.util.random.RandomGenerator;
import org.cassiastack.routing.internal.EarliestFinishPicker;
import org.cassiastack.routing.internal.LeastLoadedPicker;
import org.cassiastack.routing.internal.RandomPicker;
import org.cassiastack.routing.internal.RoundRobinPicker;
import org.cassiastack.routing.internal.SlowMinionAvoidingPicker;
import org.cassiastack.routing.internal.TwoChoicesPicker;

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

  /** Of two candidates drawn at random, the one that is expected to finish a task first. */
  public static MinionPicker twoChoices(RandomGenerator random) {
    return new TwoChoicesPicker(random);
  }

  /** The candidate that is expected to finish a task first. */
  public static MinionPicker earliestFinish() {
    return new EarliestFinishPicker();
  }

  /**
   * Leaves a slow minion idle while faster ones are expected to work off all that waits before the
   * slow one would be done with one task.
   *
   * @param inner chooses among the candidates that are worth waiting for
   */
  public static MinionPicker avoidingSlow(MinionPicker inner) {
    return new SlowMinionAvoidingPicker(inner);
  }
}
