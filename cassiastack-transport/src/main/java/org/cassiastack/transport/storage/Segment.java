package org.cassiastack.transport.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** The segment file to which records are appended. */
final class Segment implements AutoCloseable {
  static final int MAGIC = 0x43534C31;
  static final int VERSION = 1;
  static final int HEADER_BYTES = Integer.BYTES * 2;
  static final int RECORD_HEADER_BYTES = Integer.BYTES * 2;

  private final FileChannel channel;
  private long size;

  private Segment(FileChannel channel, long size) {
    this.channel = channel;
    this.size = size;
  }

  static Segment create(Path file, Syncer syncer) throws IOException {
    FileChannel channel =
        FileChannel.open(file, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
    ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES).putInt(MAGIC).putInt(VERSION).flip();
    ChecksummedFile.writeFully(channel, buffer);
    syncer.sync(channel);
    ChecksummedFile.syncFolder(file.resolveSibling("."), syncer);
    return new Segment(channel, HEADER_BYTES);
  }

  /** Opens a segment for appending after its valid records, and truncates the rest of the file. */
  static Segment reopen(Path file, long validBytes, Syncer syncer) throws IOException {
    FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE);
    if (channel.size() > validBytes) {
      channel.truncate(validBytes);
      syncer.sync(channel);
    }
    channel.position(validBytes);
    return new Segment(channel, validBytes);
  }

  void write(byte[] record) throws IOException {
    ByteBuffer buffer = ByteBuffer.allocate(RECORD_HEADER_BYTES + record.length);
    buffer.putInt(record.length).putInt(ChecksummedFile.checksum(record)).put(record).flip();
    ChecksummedFile.writeFully(channel, buffer);
    size += RECORD_HEADER_BYTES + record.length;
  }

  void sync(Syncer syncer) throws IOException {
    syncer.sync(channel);
  }

  long size() {
    return size;
  }

  @Override
  public void close() throws IOException {
    channel.close();
  }
}
