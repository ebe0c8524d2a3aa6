package org.cassiastack.consensus;

import org.cassiastack.protocol.Message;

/**
 * A message from one member to another. It is addressed to one data folder: a member that uses
 * another data folder on the same node ignores it.
 *
 * @since 0.1
 */
public interface RaftMessage extends Message {
  /** Returns the sender. */
  MemberId from();

  /** Returns the receiver. */
  MemberId to();

  /** Returns the Raft term of the message; the type of the message defines whose term it is. */
  long term();
}
