package org.cassiastack.transport.storage;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import java.io.IOException;
import org.cassiastack.consensus.HardState;
import org.cassiastack.consensus.LogEntry;
import org.cassiastack.consensus.Snapshot;
import org.cassiastack.transport.codec.RecordMapper;

/** Encoding of what the files of a data folder hold. */
final class StorageCodec {
  /** The record that drops every entry before it. */
  static final byte[] RESET_RECORD = {0};

  private final ObjectWriter writer;
  private final ObjectReader entries;
  private final ObjectReader snapshots;
  private final ObjectReader hardStates;

  StorageCodec() {
    ObjectMapper mapper = RecordMapper.create();
    writer = mapper.writer();
    entries = mapper.readerFor(LogEntry.class);
    snapshots = mapper.readerFor(Snapshot.class);
    hardStates = mapper.readerFor(HardState.class);
  }

  static boolean isReset(byte[] record) {
    return record.length == RESET_RECORD.length && record[0] == RESET_RECORD[0];
  }

  byte[] encode(Object value) throws IOException {
    return writer.writeValueAsBytes(value);
  }

  LogEntry decodeEntry(byte[] bytes) throws IOException {
    return entries.readValue(bytes);
  }

  Snapshot decodeSnapshot(byte[] bytes) throws IOException {
    return snapshots.readValue(bytes);
  }

  HardState decodeHardState(byte[] bytes) throws IOException {
    return hardStates.readValue(bytes);
  }
}
