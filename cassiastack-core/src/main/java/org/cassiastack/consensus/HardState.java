package org.cassiastack.consensus;

import org.jspecify.annotations.Nullable;

/**
 * What a member must not forget besides its log.
 *
 * @param term latest term that the member has seen
 * @param vote the member it voted for in that term, or null
 * @since 0.1
 */
public record HardState(long term, @Nullable MemberId vote) {
  /** The state of an empty data folder. */
  public static final HardState INITIAL = new HardState(0, null);
}
