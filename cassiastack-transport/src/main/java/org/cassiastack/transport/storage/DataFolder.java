package org.cassiastack.transport.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.UUID;
import java.util.stream.Stream;
import org.cassiastack.consensus.MemberId;
import org.cassiastack.model.NodeId;

/** A data folder: its lock, the identity of its member and the names of its files. */
final class DataFolder implements AutoCloseable {
  private static final String SEGMENT_SUFFIX = ".log";
  private static final String SNAPSHOT_SUFFIX = ".snapshot";
  private static final int UUID_BYTES = 16;

  private final Path folder;
  private final FileChannel lock;

  private DataFolder(Path folder, FileChannel lock) {
    this.folder = folder;
    this.lock = lock;
  }

  /**
   * Opens a folder, which is created if it does not exist, and locks it against use by other
   * processes. Temporary files that a crash has left are deleted.
   */
  static DataFolder open(Path folder) throws IOException {
    Files.createDirectories(folder);
    FileChannel lock =
        FileChannel.open(
            folder.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    try {
      if (lock.tryLock() == null) {
        throw StorageException.inUse(folder);
      }
    } catch (OverlappingFileLockException e) {
      lock.close();
      throw StorageException.inUse(folder);
    }
    DataFolder dataFolder = new DataFolder(folder, lock);
    for (Path temporary : dataFolder.list(ChecksummedFile.TEMPORARY_SUFFIX)) {
      Files.delete(temporary);
    }
    return dataFolder;
  }

  /**
   * Returns the member identity that is stored in the folder. A folder without data gets a new one.
   *
   * @throws IOException if the folder contains data but no identity
   */
  MemberId loadOrCreateIdentity(NodeId node, Syncer syncer) throws IOException {
    Path file = folder.resolve("identity");
    if (Files.exists(file)) {
      ByteBuffer buffer = ByteBuffer.wrap(ChecksummedFile.read(file));
      return new MemberId(node, new UUID(buffer.getLong(), buffer.getLong()));
    }
    if (!segmentFiles().isEmpty() || !snapshotFiles().isEmpty() || Files.exists(hardStateFile())) {
      throw StorageException.corrupt(file, "the file is missing although the folder contains data");
    }
    UUID id = UUID.randomUUID();
    ByteBuffer buffer = ByteBuffer.allocate(UUID_BYTES);
    buffer.putLong(id.getMostSignificantBits()).putLong(id.getLeastSignificantBits());
    ChecksummedFile.write(file, buffer.array(), syncer);
    return new MemberId(node, id);
  }

  Path hardStateFile() {
    return folder.resolve("hard-state");
  }

  List<Path> segmentFiles() throws IOException {
    return list(SEGMENT_SUFFIX);
  }

  Path segmentFile(long number) {
    return folder.resolve(String.format("%016x%s", number, SEGMENT_SUFFIX));
  }

  static long segmentNumber(Path segment) {
    String name = String.valueOf(segment.getFileName());
    return Long.parseLong(name.substring(0, name.length() - SEGMENT_SUFFIX.length()), 16);
  }

  List<Path> snapshotFiles() throws IOException {
    return list(SNAPSHOT_SUFFIX);
  }

  Path snapshotFile(long index) {
    return folder.resolve(String.format("%016x%s", index, SNAPSHOT_SUFFIX));
  }

  @Override
  public void close() throws IOException {
    lock.close();
  }

  private List<Path> list(String suffix) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.filter(p -> p.toString().endsWith(suffix)).sorted().toList();
    }
  }
}
