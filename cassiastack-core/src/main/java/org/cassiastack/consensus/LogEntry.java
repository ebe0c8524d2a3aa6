package org.cassiastack.consensus;

import java.util.UUID;
import org.cassiastack.model.Payload;

/**
 * One entry of the replicated log.
 *
 * @param index position in the log, from 1
 * @param term term of the leader that appended it
 * @param kind what the entry is for
 * @param proposalId identity of the proposal, {@link #NO_PROPOSAL_ID} unless it is a command
 * @param command the encoded command, empty unless it is a command
 * @param members the members from this entry on, empty unless it changes them
 * @since 0.1
 */
public record LogEntry(
    long index, long term, Kind kind, UUID proposalId, Payload command, MemberSet members) {
  /** Proposal of entries that the log writes for itself. */
  public static final UUID NO_PROPOSAL_ID = new UUID(0, 0);

  /** What an entry is for. */
  public enum Kind {
    /** First entry of a leader, which lets it commit the entries of earlier terms. */
    NO_OP,
    /** A command of the state machine. */
    COMMAND,
    /** A change of the members. */
    MEMBERS
  }

  /** Makes the first entry of a leader. */
  public static LogEntry noOp(long index, long term) {
    return new LogEntry(index, term, Kind.NO_OP, NO_PROPOSAL_ID, Payload.EMPTY, MemberSet.EMPTY);
  }

  /** Makes an entry that carries a command. */
  public static LogEntry command(long index, long term, UUID proposal, Payload command) {
    return new LogEntry(index, term, Kind.COMMAND, proposal, command, MemberSet.EMPTY);
  }

  /** Makes an entry that changes the members. */
  public static LogEntry members(long index, long term, MemberSet members) {
    return new LogEntry(index, term, Kind.MEMBERS, NO_PROPOSAL_ID, Payload.EMPTY, members);
  }
}
