package org.cassiastack.transport.storage;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads the records of a segment file one by one, so that memory holds only one of them. */
final class SegmentReader {
  /** Receives the records of a segment in order. */
  interface RecordHandler {
    void handle(byte[] record) throws IOException;
  }

  private static final int BUFFER_BYTES = 64 << 10;

  private SegmentReader() {}

  /**
   * Passes the valid records before the first invalid record to a handler.
   *
   * @param last whether this is the last segment, which may end with an incomplete record after a
   *     crash
   * @return length of the file before the first invalid record; 0 if the header of the file is
   *     incomplete
   * @throws StorageException if the file is not a segment of a supported version, or if a segment
   *     other than the last has an invalid record
   */
  static long read(Path file, boolean last, RecordHandler handler) throws IOException {
    long size = Files.size(file);
    if (size < Segment.HEADER_BYTES) {
      refuseUnlessLast(file, last, 0);
      return 0;
    }
    try (DataInputStream in =
        new DataInputStream(new BufferedInputStream(Files.newInputStream(file), BUFFER_BYTES))) {
      if (in.readInt() != Segment.MAGIC) {
        throw StorageException.corrupt(
            file, "it does not start with the magic number of a log segment");
      }
      int version = in.readInt();
      if (version != Segment.VERSION) {
        throw StorageException.unsupportedVersion(file, version);
      }
      long validBytes = Segment.HEADER_BYTES;
      while (validBytes < size) {
        byte[] record = nextRecord(in, size - validBytes);
        if (record.length == 0) {
          refuseUnlessLast(file, last, validBytes);
          return validBytes;
        }
        handler.handle(record);
        validBytes += Segment.RECORD_HEADER_BYTES + record.length;
      }
      return validBytes;
    }
  }

  /** Returns the next record, or an empty array if it is invalid; valid records are never empty. */
  private static byte[] nextRecord(DataInputStream in, long remaining) throws IOException {
    if (remaining < Segment.RECORD_HEADER_BYTES) {
      return new byte[0];
    }
    int length = in.readInt();
    int checksum = in.readInt();
    if (length <= 0 || length > remaining - Segment.RECORD_HEADER_BYTES) {
      return new byte[0];
    }
    byte[] record = in.readNBytes(length);
    return ChecksummedFile.checksum(record) == checksum ? record : new byte[0];
  }

  private static void refuseUnlessLast(Path file, boolean last, long validBytes)
      throws StorageException {
    if (!last) {
      throw StorageException.corrupt(file, "bad record at byte " + validBytes);
    }
  }
}
