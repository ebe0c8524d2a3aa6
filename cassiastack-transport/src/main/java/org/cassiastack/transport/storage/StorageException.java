package org.cassiastack.transport.storage;

import java.io.IOException;
import java.nio.file.Path;

/**
 * Thrown if a data folder cannot be read, or is in use by another process.
 *
 * @since 0.1
 */
public final class StorageException extends IOException {
  private StorageException(String message) {
    super(message);
  }

  static StorageException corrupt(Path file, String detail) {
    return new StorageException(
        file
            + " is damaged: "
            + detail
            + ". Likely cause: a failing disk or a manual change. Remove the whole data folder"
            + " and start the process again; it then joins as a new member.");
  }

  static StorageException unsupportedVersion(Path file, int version) {
    return new StorageException(
        file
            + " has format version "
            + version
            + ", which this release does not support. Start the release that wrote the file.");
  }

  static StorageException inUse(Path folder) {
    return new StorageException(
        folder + " is in use by another process. Give each process its own data folder.");
  }
}
