package org.cassiastack.runs;

import org.cassiastack.model.MinionId;
import org.jspecify.annotations.Nullable;

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

  // Spelled out, because the generated methods are linked at the first use, which delays each
  // start.
  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof MinionIncarnation o
        && startedAtMillis == o.startedAtMillis
        && id.equals(o.id);
  }

  @Override
  public int hashCode() {
    return id.hashCode() * 31 + Long.hashCode(startedAtMillis);
  }
}
