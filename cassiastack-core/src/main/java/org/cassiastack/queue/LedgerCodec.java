package org.cassiastack.queue;

import org.cassiastack.model.Payload;

/**
 * Encodes and decodes the contents of the replicated log. Bytes that cannot be decoded stop the
 * member, because a member that skips a committed command diverges from the other members.
 *
 * @since 0.2
 */
public interface LedgerCodec {
  /** Encodes a command. */
  Payload encode(LedgerBatch batch);

  /** Encodes a snapshot. */
  Payload encode(LedgerSnapshot snapshot);

  /** Decodes a command. */
  LedgerBatch decodeBatch(Payload bytes);

  /** Decodes a snapshot. */
  LedgerSnapshot decodeSnapshot(Payload bytes);
}
