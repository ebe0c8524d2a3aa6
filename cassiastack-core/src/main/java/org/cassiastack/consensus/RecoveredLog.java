package org.cassiastack.consensus;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Content of a data folder when a member starts.
 *
 * @param self identity of the member
 * @param hardState term and vote of the member
 * @param snapshot latest snapshot, or null if there is none
 * @param entries the entries after the snapshot, in order and without gaps
 * @since 0.1
 */
public record RecoveredLog(
    MemberId self, HardState hardState, @Nullable Snapshot snapshot, List<LogEntry> entries) {
  /** Creates a recovered log; the list is copied. */
  public RecoveredLog {
    entries = List.copyOf(entries);
  }

  /** Returns the content of a new data folder. */
  public static RecoveredLog empty(MemberId self) {
    return new RecoveredLog(self, HardState.INITIAL, null, List.of());
  }
}
