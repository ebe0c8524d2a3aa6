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

/** A small file that is replaced as a whole, with a format version and a checksum. */
final class ChecksummedFile {
  static final String TEMPORARY_SUFFIX = ".tmp";
  static final int VERSION = 1;

  private static final int MAGIC = 0x43534631;
  private static final int HEADER_BYTES = Integer.BYTES * 3;

  private ChecksummedFile() {}

  /** Writes a file so that a crash leaves either the former content or the new one. */
  static void write(Path file, byte[] content, Syncer syncer) throws IOException {
    Path temporary = file.resolveSibling(file.getFileName() + TEMPORARY_SUFFIX);
    ByteBuffer b = ByteBuffer.allocate(HEADER_BYTES + content.length);
    b.putInt(MAGIC).putInt(VERSION).putInt(checksum(content)).put(content).flip();
    try (FileChannel c =
        FileChannel.open(
            temporary,
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.WRITE)) {
      writeFully(c, b);
      syncer.sync(c);
    }
    Files.move(
        temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    syncFolder(file.resolveSibling("."), syncer);
  }

  static byte[] read(Path file) throws IOException {
    byte[] all = Files.readAllBytes(file);
    if (all.length < HEADER_BYTES) {
      throw StorageException.corrupt(file, "only " + all.length + " bytes");
    }
    ByteBuffer b = ByteBuffer.wrap(all);
    if (b.getInt() != MAGIC) {
      throw StorageException.corrupt(file, "not a file of this system");
    }
    int version = b.getInt();
    if (version != VERSION) {
      throw StorageException.unsupportedVersion(file, version);
    }
    int checksum = b.getInt();
    byte[] content = Arrays.copyOfRange(all, HEADER_BYTES, all.length);
    if (checksum != checksum(content)) {
      throw StorageException.corrupt(file, "checksum differs");
    }
    return content;
  }

  /** Makes the names in a folder durable. */
  static void syncFolder(Path folder, Syncer syncer) throws IOException {
    try (FileChannel c = FileChannel.open(folder, StandardOpenOption.READ)) {
      syncer.sync(c);
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
