package org.cassiastack.routing;

import java.util.List;

/**
 * What a picker chooses from.
 *
 * @param free minions of the service that can take one more task now
 * @param all minions of the service that are in service, busy ones included
 * @param waitingTasks number of tasks that wait for a slot, the present one included
 * @since 0.1
 */
public record Candidates(List<MinionLoad> free, List<MinionLoad> all, int waitingTasks) {
  /** Makes candidates for one task from minions that are all free. */
  public static Candidates of(List<MinionLoad> free) {
    return new Candidates(free, free, 1);
  }
}
