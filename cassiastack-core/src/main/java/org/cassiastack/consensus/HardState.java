package org.cassiastack.consensus;

import org.jspecify.annotations.Nullable;

/**
 * The state other than the log that a member must not lose in a restart.
 *
 * @param term latest term that the member has seen
 * @param vote the member that this member voted for in that term, or null
 * @since 0.1
 */
public record HardState(long term, @Nullable MemberId vote) {
  /** The hard state of an empty data folder: term 0 and no vote. */
  public static final HardState INITIAL = new HardState(0, null);
}
