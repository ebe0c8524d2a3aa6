package org.cassiastack.transport.storage;

import java.io.IOException;
import java.nio.file.Path;

/**
 * A data folder that cannot be read or written.
 *
 * @since 0.1
 */
public final class StorageException extends IOException {
  private StorageException(String message) {
    super(message);
  }

  static StorageException corrupt(Path file, String what) {
    return new StorageException(
        file
            + " is damaged: "
            + what
            + ". Likely cause: a failing disk or a change by hand. Remove the whole data folder"
            + " and start the process again; it then joins as a new member.");
  }

  static StorageException unsupportedVersion(Path file, int version) {
    return new StorageException(
        file
            + " has format version "
            + version
            + ", which this release does not know. Start the release that wrote it.");
  }

  static StorageException inUse(Path folder) {
    return new StorageException(
        folder + " is in use by another process. Give each process a data folder of its own.");
  }
}
