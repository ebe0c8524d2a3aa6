package org.cassiastack.transport.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Reads the records of a segment file. */
final class SegmentReader {
  private SegmentReader() {}

  /**
   * Content of a segment.
   *
   * @param records the valid records before the first invalid record
   * @param validBytes length of the file before the first invalid record; 0 if the header of the
   *     file is incomplete
   */
  record Content(List<byte[]> records, long validBytes) {}

  /**
   * Reads a segment.
   *
   * @param last whether this is the last segment, which may end with an incomplete record after a
   *     crash
   * @throws StorageException if the file is not a segment of a supported version, or if a segment
   *     other than the last has an invalid record
   */
  static Content read(Path file, boolean last) throws IOException {
    byte[] bytes = Files.readAllBytes(file);
    ByteBuffer buffer = ByteBuffer.wrap(bytes);
    if (bytes.length < Segment.HEADER_BYTES) {
      return contentBeforeInvalid(file, last, List.of(), 0);
    }
    if (buffer.getInt() != Segment.MAGIC) {
      throw StorageException.corrupt(
          file, "it does not start with the magic number of a log segment");
    }
    int version = buffer.getInt();
    if (version != Segment.VERSION) {
      throw StorageException.unsupportedVersion(file, version);
    }
    List<byte[]> records = new ArrayList<>();
    while (buffer.hasRemaining()) {
      int start = buffer.position();
      byte[] record = nextRecord(buffer);
      if (record.length == 0) {
        return contentBeforeInvalid(file, last, records, start);
      }
      records.add(record);
    }
    return new Content(records, bytes.length);
  }

  /** Returns the next record, or an empty array if it is invalid; valid records are never empty. */
  private static byte[] nextRecord(ByteBuffer buffer) {
    if (buffer.remaining() < Segment.RECORD_HEADER_BYTES) {
      return new byte[0];
    }
    int length = buffer.getInt();
    int checksum = buffer.getInt();
    if (length <= 0 || length > buffer.remaining()) {
      return new byte[0];
    }
    byte[] record = new byte[length];
    buffer.get(record);
    return ChecksummedFile.checksum(record) == checksum ? record : new byte[0];
  }

  private static Content contentBeforeInvalid(
      Path file, boolean last, List<byte[]> records, long validBytes) throws StorageException {
    if (!last) {
      throw StorageException.corrupt(file, "bad record at byte " + validBytes);
    }
    return new Content(records, validBytes);
  }
}
