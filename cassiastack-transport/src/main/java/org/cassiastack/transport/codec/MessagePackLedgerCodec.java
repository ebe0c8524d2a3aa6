package org.cassiastack.transport.codec;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.cassiastack.model.Payload;
import org.cassiastack.queue.LedgerBatch;
import org.cassiastack.queue.LedgerCodec;
import org.cassiastack.queue.LedgerSnapshot;

/**
 * Encodes the ledger as MessagePack arrays.
 *
 * @since 0.2
 */
public final class MessagePackLedgerCodec implements LedgerCodec {
  private final ObjectWriter writer;
  private final ObjectReader batches;
  private final ObjectReader snapshots;

  private MessagePackLedgerCodec() {
    ObjectMapper mapper = RecordMapper.create();
    writer = mapper.writer();
    batches = mapper.readerFor(LedgerBatch.class);
    snapshots = mapper.readerFor(LedgerSnapshot.class);
  }

  /** Makes a codec; it is safe for several threads. */
  public static MessagePackLedgerCodec create() {
    return new MessagePackLedgerCodec();
  }

  @Override
  public Payload encode(LedgerBatch batch) {
    return write(batch);
  }

  @Override
  public Payload encode(LedgerSnapshot snapshot) {
    return write(snapshot);
  }

  @Override
  public LedgerBatch decodeBatch(Payload bytes) {
    try {
      return batches.readValue(bytes.toByteArray());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public LedgerSnapshot decodeSnapshot(Payload bytes) {
    try {
      return snapshots.readValue(bytes.toByteArray());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private Payload write(Object value) {
    try {
      return Payload.wrap(writer.writeValueAsBytes(value));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
