package org.cassiastack.consensus;

import java.util.UUID;
import org.cassiastack.model.Payload;

/**
 * An entry of the replicated log.
 *
 * @param index position in the log, from 1
 * @param term term of the leader that appended the entry
 * @param kind what the entry contains
 * @param proposalId id of the proposal, {@link #NO_PROPOSAL_ID} unless the entry is a command
 * @param command the encoded command, empty unless the entry is a command
 * @param members the members from this entry on, empty unless the entry changes the members
 * @since 0.1
 */
public record LogEntry(
    long index, long term, Kind kind, UUID proposalId, Payload command, MemberSet members) {
  /** Proposal id of entries that do not come from a proposal. */
  public static final UUID NO_PROPOSAL_ID = new UUID(0, 0);

  /** What an entry contains. */
  public enum Kind {
    /**
     * First entry that a leader appends. Once it is durable on a quorum, the leader can commit the
     * entries of earlier terms.
     */
    NO_OP,
    /** A command for the state machine. */
    COMMAND,
    /** A change of the members. */
    MEMBERS
  }

  /** Returns a no-op entry, the first entry of a leader. */
  public static LogEntry noOp(long index, long term) {
    return new LogEntry(index, term, Kind.NO_OP, NO_PROPOSAL_ID, Payload.EMPTY, MemberSet.EMPTY);
  }

  /** Returns an entry that contains a command. */
  public static LogEntry command(long index, long term, UUID proposalId, Payload command) {
    return new LogEntry(index, term, Kind.COMMAND, proposalId, command, MemberSet.EMPTY);
  }

  /** Returns an entry that changes the members. */
  public static LogEntry members(long index, long term, MemberSet members) {
    return new LogEntry(index, term, Kind.MEMBERS, NO_PROPOSAL_ID, Payload.EMPTY, members);
  }
}
