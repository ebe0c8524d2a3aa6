package org.cassiastack.transport.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;

/**
 * Brings written bytes to the disk.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface Syncer {
  /** Syncs with the operating system's own call. */
  Syncer SYSTEM = channel -> channel.force(true);

  /**
   * Returns once the bytes of a channel are on the disk.
   *
   * @throws IOException when they may not be
   */
  void sync(FileChannel channel) throws IOException;
}
