package org.cassiastack.queue;

import org.cassiastack.model.Payload;
import org.cassiastack.model.RememberedValues;

/** Keeps what it encodes and gives it a number; for members in one process. */
public final class InMemoryLedgerCodec implements LedgerCodec {
  private final RememberedValues values = new RememberedValues();

  @Override
  public Payload encode(LedgerBatch batch) {
    return values.remember(batch);
  }

  @Override
  public Payload encode(LedgerSnapshot snapshot) {
    return values.remember(snapshot);
  }

  @Override
  public LedgerBatch decodeBatch(Payload bytes) {
    return (LedgerBatch) values.recall(bytes);
  }

  @Override
  public LedgerSnapshot decodeSnapshot(Payload bytes) {
    return (LedgerSnapshot) values.recall(bytes);
  }
}
