package org.cassiastack.transport.storage;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import java.io.IOException;
import org.cassiastack.consensus.HardState;
import org.cassiastack.consensus.LogEntry;
import org.cassiastack.consensus.Snapshot;
import org.cassiastack.transport.codec.RecordMapper;

/** Encodes and decodes the contents of the files in a data folder. */
final class StorageCodec {
  /** The record that invalidates all log entries before it. */
  static final byte[] RESET_RECORD = {0};

  private final ObjectWriter writer;
  private final ObjectReader entryReader;
  private final ObjectReader snapshotReader;
  private final ObjectReader hardStateReader;

  StorageCodec() {
    ObjectMapper mapper = RecordMapper.create();
    writer = mapper.writer();
    entryReader = mapper.readerFor(LogEntry.class);
    snapshotReader = mapper.readerFor(Snapshot.class);
    hardStateReader = mapper.readerFor(HardState.class);
  }

  static boolean isReset(byte[] record) {
    return record.length == RESET_RECORD.length && record[0] == RESET_RECORD[0];
  }

  byte[] encode(Object value) throws IOException {
    return writer.writeValueAsBytes(value);
  }

  LogEntry decodeEntry(byte[] bytes) throws IOException {
    return entryReader.readValue(bytes);
  }

  Snapshot decodeSnapshot(byte[] bytes) throws IOException {
    return snapshotReader.readValue(bytes);
  }

  HardState decodeHardState(byte[] bytes) throws IOException {
    return hardStateReader.readValue(bytes);
  }
}
