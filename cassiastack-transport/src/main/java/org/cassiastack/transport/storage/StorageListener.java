package org.cassiastack.transport.storage;

/**
 * Receives the progress of writes. The methods are called on the writer thread.
 *
 * @since 0.1
 */
public interface StorageListener {
  /**
   * Called when a write and all writes before it are durable.
   *
   * @param sequence sequence number of the write
   */
  void onPersisted(long sequence);

  /**
   * Called when a write fails. The folder can no longer be written, and no later write is carried
   * out.
   */
  void onFailed(String reason);
}
