package org.cassiastack.transport.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;

/**
 * Forces written bytes to the disk.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface Syncer {
  /** Syncs the content and the metadata of a file with the sync call of the operating system. */
  Syncer SYSTEM = channel -> channel.force(true);

  /**
   * Returns once the bytes of a channel are on the disk.
   *
   * @throws IOException if the bytes may not be on the disk
   */
  void sync(FileChannel channel) throws IOException;
}
