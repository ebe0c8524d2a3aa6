package org.cassiastack.routing;

import java.time.Instant;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the minion that runs a task.
 *
 * <pre>{@code
 * MinionPicker first = (c, now) -> c.free().isEmpty() ? null : c.free().get(0);
 * }</pre>
 *
 * @since 0.1
 */
@FunctionalInterface
public interface MinionPicker {
  /**
   * Chooses a minion.
   *
   * @param candidates the minions of the service
   * @param now the current time
   * @return one of the free candidates, or null when the task should wait
   */
  @Nullable MinionLoad pick(Candidates candidates, Instant now);
}
