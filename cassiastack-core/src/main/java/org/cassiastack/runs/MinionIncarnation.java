package org.cassiastack.runs;

import org.cassiastack.model.MinionId;

/**
 * One incarnation of a minion's process. A restarted minion may keep its identity, but has no
 * record of what the earlier incarnation did.
 *
 * @param id identity of the minion
 * @param startedAtMillis start time of the process in Unix milliseconds, by the minion's clock
 * @since 0.2
 */
public record MinionIncarnation(MinionId id, long startedAtMillis) {
  @Override
  public String toString() {
    return id + "@" + startedAtMillis;
  }
}
