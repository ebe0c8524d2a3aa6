package org.cassiastack.consensus;

import java.time.Instant;
import java.util.List;

/**
 * A leader replicates entries; without entries it is a heartbeat.
 *
 * @param from the leader
 * @param to the follower
 * @param term term of the leader
 * @param sentAt time of sending by the leader's clock, given back in the reply
 * @param prevIndex index of the entry before the first one
 * @param prevTerm term of that entry
 * @param commitIndex index up to which the leader knows entries to be committed
 * @param entries the entries
 * @since 0.1
 */
public record AppendRequest(
    MemberId from,
    MemberId to,
    long term,
    Instant sentAt,
    long prevIndex,
    long prevTerm,
    long commitIndex,
    List<LogEntry> entries)
    implements RaftMessage {
  /** Makes a request; the list is copied. */
  public AppendRequest {
    entries = List.copyOf(entries);
  }
}
