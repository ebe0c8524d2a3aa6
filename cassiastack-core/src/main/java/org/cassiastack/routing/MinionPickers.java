package org.cassiastack.routing;

import java.util.random.RandomGenerator;
import org.cassiastack.routing.internal.EarliestFinishPicker;
import org.cassiastack.routing.internal.LeastLoadedPicker;
import org.cassiastack.routing.internal.RandomPicker;
import org.cassiastack.routing.internal.RoundRobinPicker;
import org.cassiastack.routing.internal.SlowMinionAvoidingPicker;
import org.cassiastack.routing.internal.TwoChoicesPicker;

/**
 * The pickers that the library provides.
 *
 * @since 0.1
 */
public final class MinionPickers {
  private MinionPickers() {}

  /** Returns a picker that chooses uniformly at random; a baseline for comparisons. */
  public static MinionPicker random(RandomGenerator random) {
    return new RandomPicker(random);
  }

  /** Returns a picker that chooses the candidates in turn; a baseline for comparisons. */
  public static MinionPicker roundRobin() {
    return new RoundRobinPicker();
  }

  /** Returns a picker that chooses the candidate with the lowest utilization of its slots. */
  public static MinionPicker leastLoaded() {
    return new LeastLoadedPicker();
  }

  /**
   * Returns a picker that draws two candidates at random and chooses the candidate that is expected
   * to finish a task first.
   */
  public static MinionPicker twoChoices(RandomGenerator random) {
    return new TwoChoicesPicker(random);
  }

  /** Returns a picker that chooses the candidate that is expected to finish a task first. */
  public static MinionPicker earliestFinish() {
    return new EarliestFinishPicker();
  }

  /**
   * Returns a picker that gives a slow minion no task while the faster minions are expected to
   * complete a full window of tasks and all waiting tasks in less time than the slow minion takes
   * for one task.
   *
   * @param delegate chooses among the candidates that are not excluded as slow
   */
  public static MinionPicker avoidingSlow(MinionPicker delegate) {
    return new SlowMinionAvoidingPicker(delegate);
  }
}
