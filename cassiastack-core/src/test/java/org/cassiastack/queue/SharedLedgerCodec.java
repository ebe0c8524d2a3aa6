package org.cassiastack.queue;

import java.util.ArrayList;
import java.util.List;
import org.cassiastack.model.Payload;

/** Keeps what it encodes and gives it a number; for members in one process. */
public final class SharedLedgerCodec implements LedgerCodec {
  private final List<Object> values = new ArrayList<>();

  @Override
  public Payload encode(LedgerBatch batch) {
    return number(batch);
  }

  @Override
  public Payload encode(LedgerSnapshot snapshot) {
    return number(snapshot);
  }

  @Override
  public LedgerBatch decodeBatch(Payload bytes) {
    return (LedgerBatch) values.get(Integer.parseInt(bytes.toText()));
  }

  @Override
  public LedgerSnapshot decodeSnapshot(Payload bytes) {
    return (LedgerSnapshot) values.get(Integer.parseInt(bytes.toText()));
  }

  private Payload number(Object value) {
    values.add(value);
    return Payload.ofText(Integer.toString(values.size() - 1));
  }
}
