package org.cassiastack.bench.local;

import org.cassiastack.model.CassiaException;

/**
 * One daemon of a local system.
 *
 * @since 0.1
 */
public interface Node extends AutoCloseable {
  /** Starts it, also again after it ended. */
  void start() throws CassiaException;

  /** Asks it to stop and waits until it has. */
  void stop() throws CassiaException;

  /** Ends it at once, without a word to others. */
  void kill() throws CassiaException;

  /** Freezes it. */
  void pause() throws CassiaException;

  /** Lets a frozen one go on. */
  void resume() throws CassiaException;

  @Override
  void close();
}
