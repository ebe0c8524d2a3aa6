package org.cassiastack.consensus;

import org.cassiastack.protocol.Message;

/**
 * A message from one member to another. It is meant for one data folder: another folder at the same
 * node ignores it.
 *
 * @since 0.1
 */
public interface RaftMessage extends Message {
  /** Returns the member that sent it. */
  MemberId from();

  /** Returns the member that it is meant for. */
  MemberId to();

  /** Returns the term that it belongs to. */
  long term();
}
