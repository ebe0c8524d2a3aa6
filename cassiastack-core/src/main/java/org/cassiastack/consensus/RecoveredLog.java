package org.cassiastack.consensus;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * What a data folder holds when a member starts.
 *
 * @param self identity of the member
 * @param hardState its term and vote
 * @param snapshot its latest snapshot, or null
 * @param entries the entries behind the snapshot, in order and without gaps
 * @since 0.1
 */
public record RecoveredLog(
    MemberId self, HardState hardState, @Nullable Snapshot snapshot, List<LogEntry> entries) {
  /** Makes a recovered log; the list is copied. */
  public RecoveredLog {
    entries = List.copyOf(entries);
  }

  /** What a new data folder holds. */
  public static RecoveredLog empty(MemberId self) {
    return new RecoveredLog(self, HardState.INITIAL, null, List.of());
  }
}
