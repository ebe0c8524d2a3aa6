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
   * @param records the valid records up to the first bad one
   * @param validBytes length of the file up to there; 0 when even the header is torn
   */
  record Content(List<byte[]> records, long validBytes) {}

  /**
   * Reads a segment.
   *
   * @param last whether it is the last segment, whose tail may be torn by a crash
   * @throws StorageException when another segment has a bad record
   */
  static Content read(Path file, boolean last) throws IOException {
    byte[] all = Files.readAllBytes(file);
    ByteBuffer b = ByteBuffer.wrap(all);
    if (all.length < Segment.HEADER_BYTES) {
      return torn(file, last, List.of(), 0);
    }
    if (b.getInt() != Segment.MAGIC) {
      throw StorageException.corrupt(file, "not a log segment");
    }
    int version = b.getInt();
    if (version != Segment.VERSION) {
      throw StorageException.unsupportedVersion(file, version);
    }
    List<byte[]> records = new ArrayList<>();
    while (b.hasRemaining()) {
      int start = b.position();
      byte[] record = next(b);
      if (record.length == 0) {
        return torn(file, last, records, start);
      }
      records.add(record);
    }
    return new Content(records, all.length);
  }

  /** Returns the next record, or no bytes when it is bad; no valid record is empty. */
  private static byte[] next(ByteBuffer b) {
    if (b.remaining() < Segment.RECORD_HEADER_BYTES) {
      return new byte[0];
    }
    int length = b.getInt();
    int checksum = b.getInt();
    if (length <= 0 || length > b.remaining()) {
      return new byte[0];
    }
    byte[] record = new byte[length];
    b.get(record);
    return ChecksummedFile.checksum(record) == checksum ? record : new byte[0];
  }

  private static Content torn(Path file, boolean last, List<byte[]> records, long validBytes)
      throws StorageException {
    if (!last) {
      throw StorageException.corrupt(file, "bad record at byte " + validBytes);
    }
    return new Content(records, validBytes);
  }
}
