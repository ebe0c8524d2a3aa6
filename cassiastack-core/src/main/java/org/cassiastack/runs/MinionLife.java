package org.cassiastack.runs;

import org.cassiastack.model.MinionId;

/**
 * One life of a minion. A minion that starts again may keep its identity, but remembers nothing.
 *
 * @param id identity of the minion
 * @param bornMillis when it started, in Unix milliseconds of its own
 * @since 0.2
 */
public record MinionLife(MinionId id, long bornMillis) {
  @Override
  public String toString() {
    return id + "@" + bornMillis;
  }
}
