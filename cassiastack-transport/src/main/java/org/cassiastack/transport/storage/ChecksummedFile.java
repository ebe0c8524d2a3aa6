package org.cassiastack.transport.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * Reads and writes small files that are replaced atomically. The header of each file contains a
 * format version and a checksum of the content.
 */
final class ChecksummedFile {
  static final String TEMPORARY_SUFFIX = ".tmp";
  static final int VERSION = 1;

  private static final int MAGIC = 0x43534631;
  private static final int HEADER_BYTES = Integer.BYTES * 3;

  private ChecksummedFile() {}

  /** Replaces a file so that it contains either the old or the new content after a crash. */
  static void write(Path file, byte[] content, Syncer syncer) throws IOException {
    Path temporary = file.resolveSibling(file.getFileName() + TEMPORARY_SUFFIX);
    ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + content.length);
    buffer.putInt(MAGIC).putInt(VERSION).putInt(checksum(content)).put(content).flip();
    try (FileChannel channel =
        FileChannel.open(
            temporary,
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.WRITE)) {
      writeFully(channel, buffer);
      syncer.sync(channel);
    }
    Files.move(
        temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    syncFolder(file.resolveSibling("."), syncer);
  }

  static byte[] read(Path file) throws IOException {
    byte[] bytes = Files.readAllBytes(file);
    if (bytes.length < HEADER_BYTES) {
      throw StorageException.corrupt(file, "only " + bytes.length + " bytes");
    }
    ByteBuffer buffer = ByteBuffer.wrap(bytes);
    if (buffer.getInt() != MAGIC) {
      throw StorageException.corrupt(
          file, "it does not start with the magic number of a data file");
    }
    int version = buffer.getInt();
    if (version != VERSION) {
      throw StorageException.unsupportedVersion(file, version);
    }
    int checksum = buffer.getInt();
    byte[] content = Arrays.copyOfRange(bytes, HEADER_BYTES, bytes.length);
    if (checksum != checksum(content)) {
      throw StorageException.corrupt(file, "the checksum does not match the content");
    }
    return content;
  }

  /** Makes the directory entries of a folder durable, such as a created or renamed file. */
  static void syncFolder(Path folder, Syncer syncer) throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      syncer.sync(channel);
    }
  }

  static void writeFully(FileChannel channel, ByteBuffer bytes) throws IOException {
    while (bytes.hasRemaining()) {
      channel.write(bytes);
    }
  }

  static int checksum(byte[] bytes) {
    CRC32C crc = new CRC32C();
    crc.update(bytes);
    return (int) crc.getValue();
  }
}
