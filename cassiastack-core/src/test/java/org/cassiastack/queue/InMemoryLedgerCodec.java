package org.cassiastack.queue;

import org.cassiastack.model.Payload;
import org.cassiastack.model.PayloadValueStore;

/**
 * Stores each value that it encodes in memory and returns a reference to the value, for members in
 * one process.
 */
public final class InMemoryLedgerCodec implements LedgerCodec {
  private final PayloadValueStore values = new PayloadValueStore();

  @Override
  public Payload encode(LedgerBatch batch) {
    return values.store(batch);
  }

  @Override
  public Payload encode(LedgerSnapshot snapshot) {
    return values.store(snapshot);
  }

  @Override
  public LedgerBatch decodeBatch(Payload bytes) {
    return (LedgerBatch) values.load(bytes);
  }

  @Override
  public LedgerSnapshot decodeSnapshot(Payload bytes) {
    return (LedgerSnapshot) values.load(bytes);
  }
}
