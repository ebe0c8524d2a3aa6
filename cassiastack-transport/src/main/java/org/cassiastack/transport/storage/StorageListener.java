package org.cassiastack.transport.storage;

/**
 * Is told, on the writer thread, how far the writes have come.
 *
 * @since 0.1
 */
public interface StorageListener {
  /** A write and all before it are synced. */
  void onPersisted(long sync);

  /** The folder can no longer be written; no later write is carried out. */
  void onFailed(String reason);
}
