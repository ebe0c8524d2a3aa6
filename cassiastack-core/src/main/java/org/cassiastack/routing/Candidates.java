package org.cassiastack.routing;

import java.util.List;

/**
 * The minions that a {@link MinionPicker} chooses from.
 *
 * @param free minions of the service that can take one more task now
 * @param all minions of the service whose failure domain is in service, including busy minions
 * @param waitingTasks number of tasks that wait for a slot, including the task to dispatch
 * @since 0.1
 */
public record Candidates(List<MinionLoad> free, List<MinionLoad> all, int waitingTasks) {
  /** Creates the candidates for a single task from minions that are all free. */
  public static Candidates of(List<MinionLoad> free) {
    return new Candidates(free, free, 1);
  }
}
