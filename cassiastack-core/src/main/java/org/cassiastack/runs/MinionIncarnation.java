package org.cassiastack.runs;

import org.cassiastack.model.MinionId;

/**
 * One life of a minion. A minion that starts again may keep its identity, but remembers nothing.
 *
 * @param id identity of the minion
 * @param startedAtMillis when it started, in Unix milliseconds of its own
 * @since 0.2
 */
public record MinionIncarnation(MinionId id, long startedAtMillis) {
  @Override
  public String toString() {
    return id + "@" + startedAtMillis;
  }
}
