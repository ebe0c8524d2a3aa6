package org.cassiastack.queue;

import org.cassiastack.model.Payload;

/**
 * Encodes what the replicated log holds. Bytes that cannot be read stop the member, since going on
 * without a committed command would let it differ from the others.
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
