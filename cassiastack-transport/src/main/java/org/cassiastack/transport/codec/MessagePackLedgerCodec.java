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
 * Encodes the commands and snapshots of the job ledger as MessagePack arrays.
 *
 * @since 0.2
 */
public final class MessagePackLedgerCodec implements LedgerCodec {
  private final ObjectWriter writer;
  private final ObjectReader batchReader;
  private final ObjectReader snapshotReader;

  private MessagePackLedgerCodec() {
    ObjectMapper mapper = RecordMapper.create();
    writer = mapper.writer();
    batchReader = mapper.readerFor(LedgerBatch.class);
    snapshotReader = mapper.readerFor(LedgerSnapshot.class);
  }

  /** Creates a codec; the codec is thread-safe. */
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
      return batchReader.readValue(bytes.toByteArray());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public LedgerSnapshot decodeSnapshot(Payload bytes) {
    try {
      return snapshotReader.readValue(bytes.toByteArray());
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
