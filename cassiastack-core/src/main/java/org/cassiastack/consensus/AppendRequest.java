package org.cassiastack.consensus;

import java.time.Instant;
import java.util.List;

/**
 * A leader's request to append entries to a follower's log. A request without entries is a
 * heartbeat.
 *
 * @param from the leader
 * @param to the follower
 * @param term term of the leader
 * @param sentAt sending time by the leader's clock, returned in the reply
 * @param prevIndex index of the entry directly before {@code entries}
 * @param prevTerm term of the entry at {@code prevIndex}
 * @param commitIndex index up to which the leader knows entries to be committed
 * @param entries the entries to append, in order; empty in a heartbeat
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
  /** Creates a request; the list is copied. */
  public AppendRequest {
    entries = List.copyOf(entries);
  }
}
