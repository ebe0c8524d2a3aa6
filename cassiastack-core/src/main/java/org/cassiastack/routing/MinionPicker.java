package org.cassiastack.routing;

import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the minion that runs a task.
 *
 * <pre>{@code
 * MinionPicker first = (candidates, now) -> candidates.isEmpty() ? null : candidates.get(0);
 * }</pre>
 *
 * @since 0.1
 */
@FunctionalInterface
public interface MinionPicker {
  /**
   * Chooses a minion.
   *
   * @param candidates minions of the service that have a free slot as far as is known here
   * @param now the present time
   * @return one of the candidates, or null when none should be used now
   */
  @Nullable MinionLoad pick(List<MinionLoad> candidates, Instant now);
}
