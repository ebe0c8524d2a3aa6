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

/** Names of the files in a data folder, its lock and its identity. */
final class DataFolder implements AutoCloseable {
  private static final String SEGMENT = ".log";
  private static final String SNAPSHOT = ".snapshot";
  private static final int UUID_BYTES = 16;

  private final Path folder;
  private final FileChannel lock;

  private DataFolder(Path folder, FileChannel lock) {
    this.folder = folder;
    this.lock = lock;
  }

  /** Opens a folder, which is made if needed, and keeps other processes out of it. */
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
    DataFolder opened = new DataFolder(folder, lock);
    for (Path p : opened.list(ChecksummedFile.TEMPORARY_SUFFIX)) {
      Files.delete(p);
    }
    return opened;
  }

  /** Returns the identity of the folder, which a folder without files is given now. */
  MemberId loadOrCreateIdentity(NodeId node, Syncer syncer) throws IOException {
    Path file = folder.resolve("identity");
    if (Files.exists(file)) {
      ByteBuffer b = ByteBuffer.wrap(ChecksummedFile.read(file));
      return new MemberId(node, new UUID(b.getLong(), b.getLong()));
    }
    if (!segmentFiles().isEmpty() || !snapshotFiles().isEmpty() || Files.exists(hardStateFile())) {
      throw StorageException.corrupt(file, "it is missing");
    }
    UUID id = UUID.randomUUID();
    ByteBuffer b = ByteBuffer.allocate(UUID_BYTES);
    b.putLong(id.getMostSignificantBits()).putLong(id.getLeastSignificantBits());
    ChecksummedFile.write(file, b.array(), syncer);
    return new MemberId(node, id);
  }

  Path hardStateFile() {
    return folder.resolve("hard-state");
  }

  List<Path> segmentFiles() throws IOException {
    return list(SEGMENT);
  }

  Path segmentFile(long number) {
    return folder.resolve(String.format("%016x%s", number, SEGMENT));
  }

  static long segmentNumber(Path segment) {
    String name = String.valueOf(segment.getFileName());
    return Long.parseLong(name.substring(0, name.length() - SEGMENT.length()), 16);
  }

  List<Path> snapshotFiles() throws IOException {
    return list(SNAPSHOT);
  }

  Path snapshotFile(long index) {
    return folder.resolve(String.format("%016x%s", index, SNAPSHOT));
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
